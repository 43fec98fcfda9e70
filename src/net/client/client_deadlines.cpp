#include "net/client/client_deadlines.hpp"

#include <algorithm>

namespace merlinbridge::net {
namespace {

// A client that stops in the middle of a request must get an error or a close within 3 s of connecting. The
// remaining 200 ms are for a process that is stalled and for the network.
constexpr Duration kMaxRequestTime = std::chrono::milliseconds(2800);

}  // namespace

// The first request is counted from the time of accept, but has half of its time from its first byte in any
// case.
TimePoint ClientDeadlines::requestDeadline() const {
  const TimePoint deadline = waitStartedAt_ + std::min(kMaxRequestTime, timeouts_.maxDeadline);
  if (phase_ == Phase::laterRequest) return deadline;
  return std::min(deadline, std::max(acceptedAt_ + kMaxRequestTime, waitStartedAt_ + kMaxRequestTime / 2));
}

TimePoint ClientDeadlines::evictableAt() const {
  return waitStartedAt_ + std::min(kMaxRequestTime, timeouts_.maxDeadline) / 2;
}

}  // namespace merlinbridge::net
