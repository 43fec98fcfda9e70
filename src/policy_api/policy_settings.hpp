#pragma once

#include <cstdint>
#include <vector>

#include "policy_api/ids.hpp"
#include "policy_api/time.hpp"

/// The settings of the decision engine. Read from the platform's settings by config/policy_settings_reader,
/// which checks forms and fills in defaults; the engine takes them as they are and never changes them.
namespace merlinbridge {

/// What a second execution of the same request would do.
enum class Idempotency {
  idempotent,    ///< Nothing further: it may be attempted again anywhere, at any time.
  deduplicated,  ///< Hosts that recognize its idempotency key discard it, within Method::deduplicationWindow
                 ///< and Method::deduplicationScope.
  nonIdempotent  ///< Takes effect twice: it must not be attempted again once an attempt may have run.
};

/// The hosts among which a repeat of a deduplicated request is recognized.
enum class DeduplicationScope {
  all,   ///< Every host.
  zone,  ///< Hosts of one zone.
  cell   ///< Hosts of one cell.
};

/// One method of the service: how its requests may be repeated, their latency objective and their priority.
struct Method {
  Idempotency idempotency = Idempotency::nonIdempotent;

  /// The hosts that recognize a repeat. Read for a deduplicated method only.
  DeduplicationScope deduplicationScope = DeduplicationScope::cell;

  /// How long after the start of an attempt its hosts recognize a repeat. Read for a deduplicated method
  /// only.
  Duration deduplicationWindow{};

  /// Counted from the request's arrival: the latency objective. No retry starts later. Above 0.
  Duration softDeadline{};

  /// Weight of the method in a request's priority: priority is utility times Plan::price. 0 or more.
  double utility = 1;
};

/// A customer's plan: three limits that are independent of each other, and a price.
struct Plan {
  /// The quota: units per second that refill the customer's token bucket, over all gateways. 0: no quota.
  double rate = 0;

  /// Units that the quota's token bucket holds, over all gateways. Read where `rate` is above 0.
  double burst = 0;

  /// The concurrency limit: attempts of the customer in flight at once, over all gateways. 0: no limit.
  int maxInFlight = 0;

  /// The hard ceiling: units per second that are never exceeded, over all gateways. 0: no ceiling.
  double ceilingRate = 0;

  /// Units that the ceiling's token bucket holds, over all gateways. Read where `ceilingRate` is above 0.
  double ceilingBurst = 0;

  /// Units by which the ceiling's token bucket may fall below 0, over all gateways.
  double ceilingSlack = 0;

  /// What a unit of utility earns: the plan's weight in a request's priority. 0 or more.
  double price = 1;
};

/// The settings that the engine is created with.
struct PolicySettings {
  /// By MethodId.
  std::vector<Method> methods;

  /// By PlanId. Never empty.
  std::vector<Plan> plans;

  /// Gateways that serve the customers together. At least 1.
  std::uint32_t gateways = 1;

  /// Whether there is a counter service through which the gateways learn of each other's use.
  bool hasCounter = false;

  /// A call to the counter service ends without an answer after this long. Above 0.
  Duration counterTimeout{};

  /// The largest cost of one request, in units.
  double maxUnits = 1;

  /// Whether an attempt may be cancelled while its request has no answer.
  bool allowCancel = false;

  /// Whether a hedged request may be sent: a second attempt while the first is still in flight.
  bool allowHedging = false;

  /// Whether a rejection may carry a Retry-After.
  bool allowRetryAfter = false;

  /// Attempts of one request, the first included. At least 1.
  std::uint32_t maxAttempts = 1;

  /// The longest Retry-After.
  Duration maxRetryAfter{};

  /// An attempt to connect to a host is given up after this long. Above 0.
  Duration connectTimeout{};

  /// Capacity of a host that has just started, as a fraction of its full capacity: above 0, at most 1.
  double startCapacity = 1;

  /// A host that warms up becomes overloaded once it is sent this multiple of its present capacity for
  /// `overloadWindow`. Above 0.
  double overloadMultiple = 1;

  /// A host has its full capacity this long after its start. 0: at once, no host warms up.
  Duration slowStartTime{};

  /// See `overloadMultiple`.
  Duration overloadWindow{};
};

}  // namespace merlinbridge
