#include "policy/request_in_flight.hpp"

#include <algorithm>

namespace merlinbridge::policy {
namespace {

bool mayHaveRun(Outcome outcome) {
  return outcome != Outcome::rejected && outcome != Outcome::noConnection && outcome != Outcome::notSent;
}

}  // namespace

void Attempt::end(Outcome outcome) {
  state_ = mayHaveRun(outcome) ? State::mayHaveRun : State::notRun;
}

bool RequestInFlight::mayTakeEffect() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.mayTakeEffect(); });
}

bool RequestInFlight::hasAttemptInFlight() const {
  return std::any_of(attempts.begin(), attempts.end(),
                     [](const Attempt& attempt) { return attempt.inFlight(); });
}

}  // namespace merlinbridge::policy
