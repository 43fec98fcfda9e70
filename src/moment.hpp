#pragma once

#include <chrono>

namespace merlinbridge {

// Whole nanoseconds on the gateway's clock, whose origin means nothing.
using Span = std::chrono::nanoseconds;
// The names are those that std::chrono wants of a clock.
// NOLINTBEGIN(readability-identifier-naming)
struct GatewayClock {
  using rep = Span::rep;
  using period = Span::period;
  using duration = Span;
  using time_point = std::chrono::time_point<GatewayClock, Span>;
  static constexpr bool is_steady = true;
};
// NOLINTEND(readability-identifier-naming)
using Time = GatewayClock::time_point;

inline double seconds(Span span) {
  return std::chrono::duration<double>(span).count();
}
inline Span spanOf(double s) {
  return std::chrono::duration_cast<Span>(std::chrono::duration<double>(s));
}
inline Span scaled(Span span, double by) {
  return spanOf(seconds(span) * by);
}

}  // namespace merlinbridge
