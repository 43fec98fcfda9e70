#pragma once

#include <chrono>

/// Times and durations of the decision engine and of all that calls it.
namespace merlinbridge {

/// A duration in whole nanoseconds.
using Duration = std::chrono::nanoseconds;

// NOLINTBEGIN(readability-identifier-naming): std::chrono prescribes the names of a clock's members
/// The gateway's steady clock, as a tag for TimePoint. It has no now(): the engine is given the time with
/// every input and reads no clock. The origin has no meaning; only differences and slots of time are used.
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

/// The duration of so many seconds, cut to whole nanoseconds toward 0. The caller keeps `secondsCount` within
/// the range of Duration, about 292 years.
inline Duration durationFromSeconds(double secondsCount) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(secondsCount));
}

/// The duration multiplied by `factor`, cut to whole nanoseconds toward 0.
inline Duration scaled(Duration duration, double factor) {
  return durationFromSeconds(seconds(duration) * factor);
}

}  // namespace merlinbridge
