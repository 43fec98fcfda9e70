#pragma once

#include <cmath>

#include "policy_api/time.hpp"

namespace merlinbridge::util {

/// A sum that decays exponentially: an amount added one time constant ago counts for 1/e of itself. It does
/// not store the time constant, so that counters kept per host stay small; the caller passes the same one to
/// every call, in seconds, above 0.
class DecayingCounter {
 public:
  /// The sum at `now`. Times must not decrease from call to call.
  double read(TimePoint now, double timeConstant) const {
    return sum_ * std::exp(-seconds(now - updatedAt_) / timeConstant);
  }

  /// Adds an amount, 0 or more.
  void add(TimePoint now, double timeConstant, double amount) {
    sum_ = read(now, timeConstant) + amount;
    updatedAt_ = now;
  }

  /// Whether a positive amount has ever been added.
  bool hasCounted() const { return sum_ > 0; }

 private:
  double sum_ = 0;  ///< At `updatedAt_`.
  TimePoint updatedAt_{};
};

}  // namespace merlinbridge::util
