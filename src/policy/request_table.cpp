#include "policy/request_table.hpp"

namespace merlinbridge::policy {

RequestInFlight& RequestTable::add(const Request& request, TimePoint arrivedAt, CustomerState& customer) {
  const auto [added, isNew] =
      requests_.emplace(request.requestId.value, RequestInFlight{request, arrivedAt, &customer});
  return added->second;
}

RequestInFlight* RequestTable::find(RequestId id) {
  const auto found = requests_.find(id.value);
  return found == requests_.end() ? nullptr : &found->second;
}

void RequestTable::remove(RequestId id) {
  requests_.erase(id.value);
}

void RequestTable::attemptStarted(const RequestInFlight& request) {
  const auto last = static_cast<std::uint32_t>(request.attempts.size() - 1);
  attemptsToCheck_.push_back({request.request.requestId, {last}});
}

void RequestTable::sweepAttempts(const CheckAttempt& check) {
  for (std::size_t remaining = attemptsToCheck_.size(); remaining > 0; --remaining) {
    const AttemptRef attempt = attemptsToCheck_.front();
    attemptsToCheck_.pop_front();
    RequestInFlight* const request = find(attempt.request);
    if (request == nullptr || !request->attempts[attempt.number.value].inFlight()) continue;
    if (check(*request, attempt.number) == CheckResult::again) attemptsToCheck_.push_back(attempt);
  }
}

}  // namespace merlinbridge::policy
