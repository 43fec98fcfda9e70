#include "gateway_core/request_table.hpp"

namespace merlinbridge::core {

AttemptNumber PendingRequest::addAttempt(HostId host, TimePoint now) {
  const AttemptNumber attemptNumber{static_cast<std::uint32_t>(attempts.size())};
  attempts.push_back({host, now, {}, Attempt::State::inFlight});
  ++attemptsInFlight;
  return attemptNumber;
}

Attempt* PendingRequest::findInFlight(AttemptNumber attemptNumber) {
  if (attemptNumber.value >= attempts.size()) return nullptr;
  Attempt& attempt = attempts[attemptNumber.value];
  return attempt.state == Attempt::State::inFlight ? &attempt : nullptr;
}

void PendingRequest::endAttempt(Attempt& attempt) {
  attempt.state = Attempt::State::ended;
  --attemptsInFlight;
}

RequestId RequestTable::add(SlotRef client, TimePoint deadline) {
  const SlotRef ref = requests_.add();
  PendingRequest& request = *requests_.find(ref);
  request.client = client;
  request.deadline = deadline;
  ++unansweredCount_;
  return RequestId{ref.packed()};
}

PendingRequest* RequestTable::markAnswered(RequestId requestId) {
  PendingRequest* const request = find(requestId);
  if (!request || request->state == PendingRequest::State::answered) return nullptr;
  request->state = PendingRequest::State::answered;
  --unansweredCount_;
  return request;
}

std::size_t RequestTable::attemptCount(RequestId requestId) {
  const PendingRequest* const request = find(requestId);
  return request ? request->attempts.size() : 0;
}

}  // namespace merlinbridge::core
