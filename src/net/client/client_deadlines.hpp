#pragma once

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// Timeouts of a client's connection.
struct ClientTimeouts {
  Duration idle{};         ///< Maximum time between two requests.
  Duration maxDeadline{};  ///< Maximum time for a request to be answered, and for a response to be written.
};

/// The deadlines for receiving from and sending to one client. They are measured from the start of the
/// current wait; that of the first request is measured from when the connection was accepted.
class ClientDeadlines {
 public:
  ClientDeadlines(TimePoint acceptedAt, const ClientTimeouts& timeouts)
      : timeouts_(timeouts), acceptedAt_(acceptedAt), waitStartedAt_(acceptedAt) {}

  /// A wait begins: for a request, for the rest of a request, or for a response to be written.
  void startWait(TimePoint now) { waitStartedAt_ = now; }
  /// A request has been answered: the deadlines of later ones are not measured from the time of accept.
  void firstRequestAnswered() { phase_ = Phase::laterRequest; }

  TimePoint waitStartedAt() const { return waitStartedAt_; }
  Duration maxDeadline() const { return timeouts_.maxDeadline; }
  /// When an idle connection times out unless another request arrives.
  TimePoint idleDeadline() const { return waitStartedAt_ + timeouts_.idle; }
  /// When a response must be completely written.
  TimePoint writeDeadline() const { return waitStartedAt_ + timeouts_.maxDeadline; }
  /// When a request must be complete after its first byte has arrived.
  TimePoint requestDeadline() const;
  /// From when an incomplete request may be timed out early to admit a waiting client.
  TimePoint evictableAt() const;

 private:
  enum class Phase { firstRequest, laterRequest };

  const ClientTimeouts timeouts_;
  const TimePoint acceptedAt_;
  TimePoint waitStartedAt_;
  Phase phase_ = Phase::firstRequest;
};

}  // namespace merlinbridge::net
