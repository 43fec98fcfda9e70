#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "policy_api/ids.hpp"
#include "policy_api/time.hpp"

/// The settings of the decision engine. config/policy_settings_reader reads them from the platform's
/// settings, validates them and fills in defaults. The engine uses them unchecked and never changes them.
namespace merlinbridge {

/// The cost in units of a request that does not state its cost.
inline constexpr double kDefaultUnits = 1;

/// The effect of executing the same request twice.
enum class Idempotency {
  idempotent,    ///< Same effect as executing it once: it may be sent again to any host, at any time.
  deduplicated,  ///< Hosts that recognize its idempotency key discard the repeat, within
                 ///< Method::deduplicationWindow and Method::deduplicationScope.
  nonIdempotent  ///< Takes effect twice: it must not be sent again once a host may have executed it.
};

/// The hosts that recognize a repeat of a deduplicated request.
enum class DeduplicationScope {
  all,   ///< All hosts.
  zone,  ///< Hosts in the zone of the earlier attempt's host.
  cell   ///< Hosts in the cell of the earlier attempt's host.
};

/// A method of the service: how its requests may be repeated, its latency objective and its weight in a
/// request's priority.
struct Method {
  Idempotency idempotency = Idempotency::nonIdempotent;

  /// The hosts that recognize a repeat. Read only for a deduplicated method.
  DeduplicationScope deduplicationScope = DeduplicationScope::cell;

  /// How long after the start of an attempt hosts recognize a repeat of it. Read only for a deduplicated
  /// method.
  Duration deduplicationWindow{};

  /// The latency objective, from the arrival of the request. No retry starts after it. Above 0.
  Duration softDeadline{};

  /// Weight of the method in a request's priority, which is utility times Plan::price. 0 or more.
  double utility = 1;
};

/// A customer's plan: a quota, a concurrency limit and a hard ceiling, each independent of the others, and a
/// price.
struct Plan {
  /// The quota: units per second that refill the customer's token bucket, over all gateways. 0: no quota.
  double rate = 0;

  /// Capacity in units of the quota's token bucket, over all gateways. Read only if `rate` is above 0.
  double burst = 0;

  /// The concurrency limit: attempts of the customer in flight at the same time, over all gateways. 0: no
  /// limit.
  int maxInFlight = 0;

  /// The hard ceiling: units per second that are never exceeded, over all gateways. 0: no ceiling.
  double ceilingRate = 0;

  /// Capacity in units of the ceiling's token bucket, over all gateways. Read only if `ceilingRate` is above
  /// 0.
  double ceilingBurst = 0;

  /// Units by which the level of the ceiling's token bucket may fall below 0, over all gateways.
  double ceilingSlack = 0;

  /// Revenue for one unit of utility: the weight of the plan in a request's priority. 0 or more.
  double price = 1;
};

/// The settings with which the engine is created.
struct PolicySettings {
  /// Indexed by MethodId.
  std::vector<Method> methods;

  /// Indexed by PlanId. Never empty.
  std::vector<Plan> plans;

  /// Number of gateways that serve the customers together. At least 1.
  std::uint32_t gateways = 1;

  /// Whether there is a counter service through which the gateways learn of each other's usage.
  bool hasCounter = false;

  /// Timeout of a call to the counter service. Above 0.
  Duration counterTimeout{};

  /// The largest cost of a request, in units. Above 0; empty if the platform states none.
  std::optional<double> maxUnits;

  /// Whether an attempt may be cancelled before its request has a response.
  bool allowCancel = false;

  /// Whether a request may be hedged: a second attempt started while the first is still in flight.
  bool allowHedging = false;

  /// Whether a rejection may have a Retry-After.
  bool allowRetryAfter = false;

  /// Maximum number of attempts of a request, including the first. At least 1.
  std::uint32_t maxAttempts = 1;

  /// The longest Retry-After.
  Duration maxRetryAfter{};

  /// Timeout for connecting to a host. Above 0.
  Duration connectTimeout{};

  /// Capacity of a host that has just started, as a fraction of its full capacity: above 0, at most 1.
  double startCapacity = 1;

  /// A host in slow start is overloaded if it is sent more than this multiple of its current capacity during
  /// `overloadWindow`. Above 0.
  double overloadMultiple = 1;

  /// Time from a host's start until it has its full capacity. 0: hosts have it at once and need no slow
  /// start.
  Duration slowStartTime{};

  /// See `overloadMultiple`.
  Duration overloadWindow{};
};

}  // namespace merlinbridge
