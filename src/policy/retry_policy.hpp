#pragma once

#include "policy/engine_context.hpp"
#include "policy/host_identity.hpp"
#include "policy/request_in_flight.hpp"
#include "util/host_table.hpp"

namespace merlinbridge::policy {

/// Decides whether a request may be attempted again, at which hosts and until when, so that no request takes
/// effect twice, and whether the client of a failed request may retry it. Depends on the idempotency of the
/// method, the earlier attempts of the request, and a budget of retries and hedged requests. Notified of the
/// start of each attempt; consulted at each host selection, at the end of each attempt, and for overdue
/// attempts.
class RetryPolicy {
 public:
  /// Whether an attempt is the first one of its request.
  enum class AttemptKind {
    first,
    further  ///< A retry or a hedged request.
  };

  /// The arguments must outlive this object.
  RetryPolicy(const EngineContext& context, const util::HostTable& hosts, const HostIdentity& identity);

  /// Records the start of an attempt: a first attempt adds to the budget, a further one takes from it. The
  /// budget prevents retries from multiplying the load when all hosts are slow.
  void attemptStarted(AttemptKind kind);

  /// Whether one more attempt is allowed by the budget, the maximum number of attempts and the request's
  /// deadlines.
  bool allowsRetry(const RequestInFlight& request) const;

  /// Whether a request with an overdue attempt may be hedged, or the attempt cancelled and retried.
  bool allowsHedge(const RequestInFlight& request) const;

  /// Whether the request may be sent to that host, given its attempts that may have taken effect or still
  /// may.
  bool allowsHost(const RequestInFlight& request, HostId host) const;

  /// The time by which the request's last attempt, which is about to start, must be written; TimePoint::max()
  /// if there is no limit. A repeat that is delayed by connecting or writing must not reach a host that no
  /// longer recognizes it as a repeat.
  TimePoint writeDeadline(const RequestInFlight& request) const;

  /// Whether a request that failed here may be rejected, which allows the client to retry it immediately.
  bool clientMayRetry(const RequestInFlight& request) const;

 private:
  const Method& methodOf(const RequestInFlight& request) const;
  /// The idempotency of this request: that of its method, but without an idempotency key no host can
  /// recognize the repeat of a deduplicated request, which then counts as non-idempotent.
  Idempotency idempotencyOf(const RequestInFlight& request) const;
  /// Whether that host would recognize and discard a repeat of this attempt. Only for a deduplicated request.
  /// If not all hosts recognize it, the host must surely be the announced one.
  bool deduplicates(HostId host, const Attempt& attempt, const Method& method) const;

  const EngineContext& context_;
  const util::HostTable& hosts_;
  const HostIdentity& identity_;
  double budget_;  ///< Retries and hedged requests that may start now; none if below 1.
};

}  // namespace merlinbridge::policy
