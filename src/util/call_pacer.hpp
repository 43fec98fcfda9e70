#pragma once

#include "policy_api/time.hpp"

namespace merlinbridge::util {

/// Paces calls: a token bucket that holds one call, or one period's calls where these are more. The caller
/// raises and cuts the pace, which is in calls per period, and states the period at each use.
class CallPacer {
 public:
  /// `callsPerPeriod`: the pace at first, above 0. One call may start at once.
  CallPacer(double callsPerPeriod, TimePoint now);

  /// The present pace, above 0.
  double callsPerPeriod() const { return callsPerPeriod_; }

  /// Raises the pace by so many calls per period, to `most` at most.
  void raise(double calls, double most);

  /// Multiplies the pace by `factor`, below 1, to `least` at least. No effect within a period of the last
  /// cut.
  void cut(double factor, double least, TimePoint now, Duration period);

  /// Adds the calls that have become due. `periodSeconds`: above 0. Call before mayStart().
  void refill(TimePoint now, double periodSeconds);

  /// Whether a call may start now.
  bool mayStart() const { return tokens_ >= 1; }

  /// A call starts; only where mayStart() is true.
  void start();

  /// Time until the next call may start. A nanosecond at least: a timer that is due at once would fire
  /// without end.
  Duration untilNext(double periodSeconds) const;

 private:
  double callsPerPeriod_;
  double tokens_ = 1;  ///< Calls that may start now.
  TimePoint refilledAt_;
  TimePoint cutAt_{};
};

}  // namespace merlinbridge::util
