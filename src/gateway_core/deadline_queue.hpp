#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "policy_api/time.hpp"

namespace merlinbridge::core {

/// Pending callbacks ordered by the time at which they are due; of two due at the same time, the one added
/// first runs first. The queue has no clock: its owner, the event loop or a simulation, calls run(). Not
/// thread-safe; callbacks run on the strand of run() and are destroyed after they ran or when they are
/// cancelled.
class DeadlineQueue {
 public:
  /// Names a pending callback. The number is unique for the lifetime of the queue; a default-constructed
  /// handle names none.
  struct Handle {
    TimePoint dueAt{};
    std::uint64_t number = 0;
    explicit operator bool() const { return number != 0; }
    auto operator<=>(const Handle&) const =
        default;  // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads <=>
  };
  /// Called once, at or after the time it was added for. May add and cancel callbacks; must not call run().
  using Callback = std::function<void(TimePoint now)>;

  /// Adds a callback, which the queue owns from here on. A time that has passed is allowed.
  Handle add(TimePoint dueAt, Callback callback) {
    const Handle handle{dueAt, ++lastNumber_};
    pending_.emplace(handle, std::move(callback));
    return handle;
  }
  /// Removes and destroys a pending callback. Has no effect on one that has run already, or on an empty
  /// handle.
  void cancel(Handle handle) { pending_.erase(handle); }
  /// When the earliest callback is due; TimePoint::max() if none is pending.
  TimePoint nextDueAt() const { return pending_.empty() ? TimePoint::max() : pending_.begin()->first.dueAt; }

  /// Runs the callbacks that are due at `now`. A callback added meanwhile runs in the next run() at the
  /// earliest, so that one which adds itself again cannot keep the loop from its other work.
  void run(TimePoint now) {
    const std::uint64_t lastBeforeRun = lastNumber_;
    for (auto at = pending_.begin(); at != pending_.end() && at->first.dueAt <= now; at = pending_.begin()) {
      while (at != pending_.end() && at->first.number > lastBeforeRun) ++at;
      if (at == pending_.end() || at->first.dueAt > now) return;
      const auto due = pending_.extract(at);
      recentLateness_ = std::max(recentLateness_ / 2, now - due.key().dueAt);
      due.mapped()(now);
    }
  }
  /// By how much callbacks run late: the largest recent delay, which halves with each callback that runs, or
  /// the delay of one that is overdue now, whichever is more.
  Duration lateness(TimePoint now) const {
    return pending_.empty() ? recentLateness_ : std::max(recentLateness_, now - nextDueAt());
  }

 private:
  std::map<Handle, Callback> pending_;
  std::uint64_t lastNumber_ = 0;
  Duration recentLateness_{0};
};

}  // namespace merlinbridge::core
