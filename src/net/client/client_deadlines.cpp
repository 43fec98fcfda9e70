#include "net/client/client_deadlines.hpp"

#include <algorithm>

namespace merlinbridge::net {
namespace {

// A client that stalls in the middle of a request must get an error or a close within 3 s of connecting. The
// remaining 200 ms allow for process stalls and network delay.
constexpr Duration kMaxRequestTime = std::chrono::milliseconds(2800);

}  // namespace

// The deadline of the first request is measured from the time of accept, or half of kMaxRequestTime after its
// first byte if that is later. `deadline` bounds both.
TimePoint ClientDeadlines::requestDeadline() const {
  const TimePoint deadline = waitStartedAt_ + std::min(kMaxRequestTime, timeouts_.maxDeadline);
  if (phase_ == Phase::laterRequest) return deadline;
  return std::min(deadline, std::max(acceptedAt_ + kMaxRequestTime, waitStartedAt_ + kMaxRequestTime / 2));
}

TimePoint ClientDeadlines::evictableAt() const {
  return waitStartedAt_ + std::min(kMaxRequestTime, timeouts_.maxDeadline) / 2;
}

}  // namespace merlinbridge::net
