#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "policy_api/ids.hpp"

namespace merlinbridge::util {

/// Callbacks that wait for their timers, each under an id that is never used again. Sets no timer itself: the
/// caller asks for one and passes its firing on.
class TimerTable {
 public:
  /// Called once, when its timer fires, on the thread that calls fire(). What it captures must live until
  /// then: a timer cannot be cancelled.
  using Callback = std::function<void()>;

  /// Keeps the callback and returns the id of its timer. The first id is 1.
  TimerId add(Callback callback);

  /// Runs the callback of that timer. No effect where the timer is unknown or has fired. The callback may add
  /// timers.
  void fire(TimerId timer);

 private:
  std::unordered_map<std::uint64_t, Callback> callbacks_;  ///< By the value of the id; never iterated.
  std::uint64_t lastId_ = 0;
};

}  // namespace merlinbridge::util
