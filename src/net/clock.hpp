#pragma once

#include <chrono>

#include "net/system_calls.hpp"
#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// The gateway's time source; tests substitute a manual one.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Never earlier than the time returned before.
  virtual TimePoint now() const = 0;
  /// When the newest bytes of a connection arrived at this machine: at now() or earlier. If none have
  /// arrived, when the connection was established. now() if the system does not tell.
  virtual TimePoint newestArrivalAt(int socket) const = 0;
};

/// Unix time, read once at construction and advanced by the monotonic clock. Unix time is needed because
/// counter slots and host start times are compared across machines; advancing it monotonically keeps
/// deadlines from moving when the system's wall clock is adjusted.
class SystemClock final : public Clock {
 public:
  TimePoint now() const override {
    return TimePoint(unixTimeAtStart_ + (std::chrono::steady_clock::now() - startedAt_));
  }
  TimePoint newestArrivalAt(int socket) const override {
    return now() - timeSinceArrival(socket).value_or(Duration{0});
  }

 private:
  std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
  Duration unixTimeAtStart_ = std::chrono::system_clock::now().time_since_epoch();
};

}  // namespace merlinbridge::net
