#pragma once

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "policy_api/ids.hpp"

namespace merlinbridge::util {

/// Callbacks that wait for their timers, each under an id that is never reused. The table sets no timers
/// itself: the caller sets a timer for each id and calls fire() when it is due.
class TimerTable {
 public:
  /// Called once, when its timer fires, on the thread that calls fire(). What it captures must stay valid
  /// until then, because a timer cannot be cancelled.
  using Callback = std::function<void()>;

  /// Adds a callback and returns the id of its timer. Ids are counted from 1.
  TimerId add(Callback callback);

  /// Runs the callback of the timer. No effect if the timer is unknown or has already fired. The callback may
  /// add timers.
  void fire(TimerId timer);

 private:
  std::unordered_map<std::uint64_t, Callback>
      callbacks_;  ///< By id value. Never iterated, because the order is unspecified.
  std::uint64_t lastId_ = 0;
};

}  // namespace merlinbridge::util
