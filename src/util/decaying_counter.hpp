#pragma once

#include <cmath>

#include "policy_api/time.hpp"

namespace merlinbridge::util {

/// A sum that decays exponentially: an amount added one time constant ago counts for 1/e of itself. Two
/// numbers of state, so that a figure by host costs little; the caller therefore states the time constant at
/// every call, in seconds, above 0 and always the same.
class DecayingCounter {
 public:
  /// The sum as of now. Times never go back.
  double read(TimePoint now, double timeConstant) const {
    return sum_ * std::exp(-seconds(now - updatedAt_) / timeConstant);
  }

  /// Adds an amount, 0 or more.
  void add(TimePoint now, double timeConstant, double amount) {
    sum_ = read(now, timeConstant) + amount;
    updatedAt_ = now;
  }

  /// Whether a positive amount was ever added.
  bool hasCounted() const { return sum_ > 0; }

 private:
  double sum_ = 0;  ///< As of the last add.
  TimePoint updatedAt_{};
};

}  // namespace merlinbridge::util
