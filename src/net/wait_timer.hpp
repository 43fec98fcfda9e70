#pragma once

#include <utility>

#include "gateway_core/deadline_queue.hpp"

namespace merlinbridge::net {

/// The timer for the current wait of a connection. When the wait's deadline moves to a later time, the timer
/// is not touched: when it fires, the connection compares the deadline with the clock and sets the timer
/// again. So handling a message needs no operation on the deadline queue.
class WaitTimer {
 public:
  explicit WaitTimer(core::DeadlineQueue& deadlines) : deadlines_(deadlines) {}

  /// Returns true if the timer fires no later than `deadline` and so does not have to be set.
  bool firesBy(TimePoint deadline) const { return firesAt_ <= deadline; }
  /// Replaces the pending timer. `callback` runs once, on the strand, at or after `firesAt`; it must call
  /// fired() first.
  void set(TimePoint firesAt, core::DeadlineQueue::Callback callback) {
    cancel();
    firesAt_ = firesAt;
    pending_ = deadlines_.add(firesAt, std::move(callback));
  }
  /// The timer has fired and is no longer pending.
  void fired() {
    firesAt_ = TimePoint::max();
    pending_ = {};
  }
  /// Cancels the pending timer when the connection closes. Has no effect if no timer is pending.
  void cancel() {
    if (pending_) deadlines_.cancel(pending_);
  }

 private:
  core::DeadlineQueue& deadlines_;
  TimePoint firesAt_ = TimePoint::max();
  core::DeadlineQueue::Handle pending_{};
};

}  // namespace merlinbridge::net
