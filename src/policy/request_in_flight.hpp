#pragma once

#include <vector>

#include "policy/customer_state.hpp"
#include "policy_api/decision_engine.hpp"
#include "util/host_table.hpp"

namespace merlinbridge::policy {

/// An attempt of a request. Exists from its start until its request is removed.
class Attempt {
 public:
  /// An attempt is in flight until its end, and then stays in one of the other states.
  enum class State {
    inFlight,    ///< Started and not ended; the host may execute the request or has executed it.
    mayHaveRun,  ///< Ended; the host may have executed the request.
    notRun       ///< Ended; the host has definitely not executed the request.
  };

  /// `domain`: where the host was at the start.
  Attempt(HostId host, TimePoint startedAt, const util::DeduplicationDomain& domain = {})
      : host_(host), startedAt_(startedAt), domain_(domain) {}

  HostId host() const { return host_; }
  TimePoint startedAt() const { return startedAt_; }
  const util::DeduplicationDomain& domain() const { return domain_; }
  bool inFlight() const { return state_ == State::inFlight; }

  /// Whether the request may have taken effect through this attempt, or still may.
  bool mayTakeEffect() const { return state_ != State::notRun; }

  /// Ends the attempt with that outcome. Must be called once, while the attempt is in flight.
  void end(Outcome outcome);

 private:
  HostId host_;
  TimePoint startedAt_;
  util::DeduplicationDomain domain_;
  State state_ = State::inFlight;
};

/// An admitted request. Exists until its last attempt has ended.
struct RequestInFlight {
  Request request;
  TimePoint arrivedAt;
  CustomerState* customer = nullptr;  ///< Not owned; CustomerTable keeps it while attempts are in flight.
  std::vector<Attempt> attempts{};    ///< Indexed by AttemptNumber.
  bool answered = false;  ///< Whether the request has its final response or its client disconnected.

  /// Whether the request may have taken effect through any of its attempts, or still may.
  bool mayTakeEffect() const;
  bool hasAttemptInFlight() const;
};

}  // namespace merlinbridge::policy
