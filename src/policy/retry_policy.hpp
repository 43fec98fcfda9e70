#pragma once

#include "policy/engine_context.hpp"
#include "policy/request_in_flight.hpp"
#include "util/host_table.hpp"

namespace merlinbridge::policy {

/// Decides whether a request may be attempted again, at which hosts, and until when, so that no request takes
/// effect twice; and whether a request that has failed here may be repeated by its client. Decides from the
/// method's repeat rule, the request's earlier attempts, and a budget of retries and hedged requests.
/// Notified of each attempt's start; asked at each selection of a host, at the end of each attempt, and for
/// overdue ones.
class RetryPolicy {
 public:
  /// Whether an attempt is a request's first.
  enum class AttemptKind {
    first,
    further  ///< A retry or a hedged request.
  };

  /// The arguments must outlive this object.
  RetryPolicy(const EngineContext& context, const util::HostTable& hosts);

  /// An attempt starts: a first one adds to the budget, a further one takes from it. The budget keeps retries
  /// from multiplying the load when every host is slow.
  void attemptStarted(AttemptKind kind);

  /// Whether one more attempt is within the budget, the number of attempts and the request's time.
  bool allowsRetry(const RequestInFlight& request) const;

  /// Whether an overdue request may be hedged, or its attempt be cancelled and retried.
  bool allowsHedge(const RequestInFlight& request) const;

  /// Whether the request may go to that host, given the attempts that may have run or still may.
  bool allowsHost(const RequestInFlight& request, HostId host) const;

  /// The time by which the request's last attempt, which is about to start, must be written; TimePoint::max()
  /// where nothing limits it. A repeat that takes long to connect or to be written must not reach hosts that
  /// no longer recognize the earlier attempts.
  TimePoint writeDeadline(const RequestInFlight& request) const;

  /// Whether a request that is given up may be rejected, so that its client may repeat it at once.
  bool clientMayRetry(const RequestInFlight& request) const;

 private:
  const Method& methodOf(const RequestInFlight& request) const;
  /// The method's repeat rule, as it holds for this request: without its idempotency key no host can
  /// recognize the repeat of a deduplicated request.
  Idempotency idempotencyOf(const RequestInFlight& request) const;
  /// Whether a repeat at that host would be discarded there on account of this attempt. For a deduplicated
  /// request.
  bool deduplicates(HostId host, const Attempt& attempt, const Method& method) const;

  const EngineContext& context_;
  const util::HostTable& hosts_;
  double budget_;  ///< Retries and hedged requests that may start now; below 1: none.
};

}  // namespace merlinbridge::policy
