#pragma once

#include <chrono>

/// Times and durations of the decision engine and its callers.
namespace merlinbridge {

/// A duration in whole nanoseconds.
using Duration = std::chrono::nanoseconds;

// NOLINTBEGIN(readability-identifier-naming): std::chrono prescribes the names of a clock's members
/// Tag type for the gateway's steady clock. It has no now(): the engine reads no clock, each input carries
/// its time. The origin has no meaning; only differences between times and time slots are used.
struct GatewayClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<GatewayClock, Duration>;
  static constexpr bool is_steady = true;
};
// NOLINTEND(readability-identifier-naming)

/// A point in time on the gateway's clock.
using TimePoint = GatewayClock::time_point;

/// The duration in seconds.
inline double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// Converts seconds to a duration, truncated to whole nanoseconds. The caller keeps `secondsCount` within the
/// range of Duration, about 292 years.
inline Duration durationFromSeconds(double secondsCount) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(secondsCount));
}

/// The duration multiplied by `factor`, truncated to whole nanoseconds.
inline Duration scaled(Duration duration, double factor) {
  return durationFromSeconds(seconds(duration) * factor);
}

}  // namespace merlinbridge
