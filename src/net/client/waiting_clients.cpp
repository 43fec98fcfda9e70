#include "net/client/waiting_clients.hpp"

#include <algorithm>

namespace merlinbridge::net {
namespace {

// Stated deadlines below this part of the longest one count as this part, so that a client cannot make
// stalled requests give way at once by stating none.
constexpr int kMinDeadlineDivisor = 16;
// The part of the distance to a longer deadline by which the estimate moves with each request.
constexpr int kDeadlineRiseDivisor = 64;
// A client may spend this part of its time on waiting to be accepted.
constexpr int kMaxWaitDivisor = 4;
// A client that has sent nothing for this part of the time for an answer counts as stalled.
constexpr int kStallDivisor = 16;

}  // namespace

void WaitingClients::deadlineStated(Duration deadline) {
  const Duration stated = std::clamp(deadline, longestDeadline_ / kMinDeadlineDivisor, longestDeadline_);
  const bool isShorter = stated < statedDeadline_;
  statedDeadline_ = isShorter ? stated : statedDeadline_ + (stated - statedDeadline_) / kDeadlineRiseDivisor;
}

TimePoint WaitingClients::overdueAt() const {
  return firstArrivedAt_ + statedDeadline_ / kMaxWaitDivisor;
}

Duration WaitingClients::stallTime() const {
  return statedDeadline_ / kStallDivisor;
}

void WaitingClients::recordArrival(TimePoint arrivedAt) {
  firstArrivedAt_ = std::max(firstArrivedAt_, arrivedAt);
}

}  // namespace merlinbridge::net
