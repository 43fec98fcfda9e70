#pragma once

#include <utility>

#include "gateway_core/deadline_queue.hpp"

namespace merlinbridge::net {

/// The one timer of a connection's present wait. A wait that moves to a later time does not touch the timer:
/// when the timer fires, the connection compares its wait's deadline with the clock and sets the timer again.
/// That keeps the cost of a message free of the deadline queue.
class WaitTimer {
 public:
  explicit WaitTimer(core::DeadlineQueue& deadlines) : deadlines_(deadlines) {}

  /// Returns true if the timer fires no later than `deadline`, so that it need not be set.
  bool firesBy(TimePoint deadline) const { return firesAt_ <= deadline; }
  /// Replaces the pending timer. `callback` runs once, on the strand, at or after `firesAt`; its first act is
  /// to call fired().
  void set(TimePoint firesAt, core::DeadlineQueue::Callback callback) {
    cancel();
    firesAt_ = firesAt;
    pending_ = deadlines_.add(firesAt, std::move(callback));
  }
  /// The timer has fired and is not pending any more.
  void fired() {
    firesAt_ = TimePoint::max();
    pending_ = {};
  }
  /// The connection is closed. Has no effect if no timer is pending.
  void cancel() {
    if (pending_) deadlines_.cancel(pending_);
  }

 private:
  core::DeadlineQueue& deadlines_;
  TimePoint firesAt_ = TimePoint::max();
  core::DeadlineQueue::Handle pending_{};
};

}  // namespace merlinbridge::net
