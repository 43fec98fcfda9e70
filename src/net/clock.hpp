#pragma once

#include <chrono>

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// The source of the gateway's time; tests set it by hand.
class Clock {
 public:
  virtual ~Clock() = default;
  /// Never earlier than the time returned before.
  virtual TimePoint now() const = 0;
};

/// Unix time as read once when the clock is made, advanced by the monotonic clock: all machines agree on it
/// (counter slots and the start times of hosts are compared across machines), and a step of the system's wall
/// clock does not move any deadline.
class SystemClock final : public Clock {
 public:
  TimePoint now() const override {
    return TimePoint(unixTimeAtStart_ + (std::chrono::steady_clock::now() - startedAt_));
  }

 private:
  std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
  Duration unixTimeAtStart_ = std::chrono::system_clock::now().time_since_epoch();
};

}  // namespace merlinbridge::net
