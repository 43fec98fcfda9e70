#pragma once

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// Bounds on the waits of a client's connection.
struct ClientTimeouts {
  Duration idle{};         ///< Between two requests.
  Duration maxDeadline{};  ///< The longest that a request waits for its answer, or an answer to be written.
};

/// The times by which something must come from one client, or go to it. They are counted from the start of
/// the present wait, and for the first request from when the connection was accepted.
class ClientDeadlines {
 public:
  ClientDeadlines(TimePoint acceptedAt, const ClientTimeouts& timeouts)
      : timeouts_(timeouts), acceptedAt_(acceptedAt), waitStartedAt_(acceptedAt) {}

  /// A wait begins: for a request, for the rest of one, or for its answer to be written.
  void startWait(TimePoint now) { waitStartedAt_ = now; }
  /// A request has its answer: those that follow are not counted from the time of accept.
  void firstRequestAnswered() { phase_ = Phase::laterRequest; }

  TimePoint waitStartedAt() const { return waitStartedAt_; }
  Duration maxDeadline() const { return timeouts_.maxDeadline; }
  /// By when an idle connection must get its next request.
  TimePoint idleDeadline() const { return waitStartedAt_ + timeouts_.idle; }
  /// By when an answer must be written.
  TimePoint writeDeadline() const { return waitStartedAt_ + timeouts_.maxDeadline; }
  /// By when a request that has begun to come must be complete.
  TimePoint requestDeadline() const;
  /// From when on an incomplete request may be timed out early, to admit a client that waits for a
  /// connection.
  TimePoint evictableAt() const;

 private:
  enum class Phase { firstRequest, laterRequest };

  const ClientTimeouts timeouts_;
  const TimePoint acceptedAt_;
  TimePoint waitStartedAt_;
  Phase phase_ = Phase::firstRequest;
};

}  // namespace merlinbridge::net
