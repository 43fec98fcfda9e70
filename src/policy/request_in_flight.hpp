#pragma once

#include <vector>

#include "policy/customer_state.hpp"
#include "policy_api/decision_engine.hpp"

namespace merlinbridge::policy {

/// One attempt of a request, from its start until its request is done with.
class Attempt {
 public:
  /// Each attempt is in flight until its end, and then one of the others for good.
  enum class State {
    inFlight,    ///< Started and not ended: it may run, or may already have run.
    mayHaveRun,  ///< Ended; the host may have executed the request.
    notRun       ///< Ended; the host has certainly not executed the request.
  };

  Attempt(HostId host, TimePoint startedAt) : host_(host), startedAt_(startedAt) {}

  HostId host() const { return host_; }
  TimePoint startedAt() const { return startedAt_; }
  bool inFlight() const { return state_ == State::inFlight; }

  /// Whether the request may have its effect through this attempt, now or later.
  bool mayTakeEffect() const { return state_ != State::notRun; }

  /// The attempt has ended in that way. Once, while it is in flight.
  void end(Outcome outcome);

 private:
  HostId host_;
  TimePoint startedAt_;
  State state_ = State::inFlight;
};

/// A request that was admitted, until its last attempt has ended.
struct RequestInFlight {
  Request request;
  TimePoint arrivedAt;
  CustomerState* customer =
      nullptr;  ///< Not owned; the table of customers keeps it while it has attempts in flight.
  std::vector<Attempt> attempts{};  ///< By AttemptNumber.
  bool answered = false;            ///< Whether the request has its final answer, or its client has left.

  /// Whether the request may have its effect through any of its attempts.
  bool mayTakeEffect() const;
  bool hasAttemptInFlight() const;
};

}  // namespace merlinbridge::policy
