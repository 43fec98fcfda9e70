#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "policy_api/time.hpp"

namespace merlinbridge::core {

/// Pending callbacks, ordered by due time; callbacks with the same due time run in the order in which they
/// were added. The queue reads no clock: its owner, the event loop or a simulation, calls run(). Not
/// thread-safe; callbacks run inside run() and are destroyed after they have run or when they are cancelled.
class DeadlineQueue {
 public:
  /// Identifies a pending callback. `number` is unique for the lifetime of the queue; a default-constructed
  /// handle identifies no callback.
  struct Handle {
    TimePoint dueAt{};
    std::uint64_t number = 0;
    explicit operator bool() const { return number != 0; }
    auto operator<=>(const Handle&) const =
        default;  // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads <=>
  };
  /// Called once, at or after its due time. May add and cancel callbacks; must not call run().
  using Callback = std::function<void(TimePoint now)>;

  /// Adds a callback, which the queue then owns. `dueAt` may be in the past.
  Handle add(TimePoint dueAt, Callback callback) {
    const Handle handle{dueAt, ++lastNumber_};
    pending_.emplace(handle, std::move(callback));
    return handle;
  }
  /// Removes and destroys a pending callback. No effect if it has already run or if the handle is empty.
  void cancel(Handle handle) { pending_.erase(handle); }
  /// The earliest due time; TimePoint::max() if no callback is pending.
  TimePoint nextDueAt() const { return pending_.empty() ? TimePoint::max() : pending_.begin()->first.dueAt; }

  /// Runs the callbacks that are due at `now`. Callbacks added during the run wait for the next run(), so
  /// that a callback that adds itself again cannot starve the event loop.
  void run(TimePoint now) {
    const std::uint64_t lastBeforeRun = lastNumber_;
    for (auto next = pending_.begin(); next != pending_.end() && next->first.dueAt <= now;
         next = pending_.begin()) {
      while (next != pending_.end() && next->first.number > lastBeforeRun) ++next;
      if (next == pending_.end() || next->first.dueAt > now) return;
      const auto due = pending_.extract(next);
      recentLateness_ = std::max(recentLateness_ / 2, now - due.key().dueAt);
      due.mapped()(now);
    }
  }
  /// How late callbacks run: the largest recent delay, which halves with each callback that runs, or the
  /// present delay of the earliest pending callback, whichever is larger.
  Duration lateness(TimePoint now) const {
    return pending_.empty() ? recentLateness_ : std::max(recentLateness_, now - nextDueAt());
  }

 private:
  std::map<Handle, Callback> pending_;
  std::uint64_t lastNumber_ = 0;
  Duration recentLateness_{0};
};

}  // namespace merlinbridge::core
