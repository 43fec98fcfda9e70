#pragma once

#include <chrono>

namespace merlinbridge {

/// Whole nanoseconds on the gateway's clock, whose origin means nothing.
using Duration = std::chrono::nanoseconds;
/// The names are those that std::chrono wants of a clock.
// NOLINTBEGIN(readability-identifier-naming)
struct GatewayClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<GatewayClock, Duration>;
  static constexpr bool is_steady = true;
};
// NOLINTEND(readability-identifier-naming)
using TimePoint = GatewayClock::time_point;

inline double seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}
inline Duration durationOf(double s) {
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(s));
}
inline Duration scaled(Duration duration, double by) {
  return durationOf(seconds(duration) * by);
}

}  // namespace merlinbridge
