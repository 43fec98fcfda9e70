#pragma once

#include "policy_api/time.hpp"

namespace merlinbridge::util {

/// Limits the rate of calls with a token bucket that holds the calls of one period, or one call if that is
/// more. The rate, called pace, is in calls per period. The caller raises and cuts it, and passes the period
/// to each function that needs it.
class CallPacer {
 public:
  /// `callsPerPeriod` is the initial pace, above 0. One call may start immediately.
  CallPacer(double callsPerPeriod, TimePoint now);

  /// The current pace, above 0.
  double callsPerPeriod() const { return callsPerPeriod_; }

  /// Raises the pace by `calls` per period, but not above `maxPace`.
  void raise(double calls, double maxPace);

  /// Multiplies the pace by `factor`, which is below 1, but not below `minPace`. No effect if less than one
  /// period has passed since the last cut.
  void cut(double factor, double minPace, TimePoint now, Duration period);

  /// Adds the calls that have become available since the last refill. `periodSeconds` is above 0. Must be
  /// called before mayStart().
  void refill(TimePoint now, double periodSeconds);

  /// Whether a call may start now.
  bool mayStart() const { return tokens_ >= 1; }

  /// Records that a call starts. Allowed only while mayStart() is true.
  void start();

  /// Time until the next call may start. At least one nanosecond, because a timer that is due immediately
  /// would fire in an endless loop.
  Duration untilNext(double periodSeconds) const;

 private:
  double callsPerPeriod_;
  double tokens_ = 1;  ///< Calls that may start now.
  TimePoint refilledAt_;
  TimePoint cutAt_{};
};

}  // namespace merlinbridge::util
