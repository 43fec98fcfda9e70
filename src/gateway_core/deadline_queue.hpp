#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "policy_api/time.hpp"

namespace merlinbridge::core {

/// Callbacks by time, in one ordered structure. Of two that are due together, the one added first runs first.
class DeadlineQueue {
 public:
  /// Names a pending callback. The number is unique for the lifetime of the queue; a default-constructed
  /// ticket names none.
  struct Ticket {
    TimePoint dueAt{};
    std::uint64_t number = 0;
    explicit operator bool() const { return number != 0; }
    auto operator<=>(const Ticket&) const =
        default;  // NOLINT(modernize-use-nullptr): clang-tidy 14 misreads <=>
  };
  /// Called once, at or after the time it was added for.
  using Callback = std::function<void(TimePoint now)>;

  Ticket add(TimePoint dueAt, Callback callback) {
    const Ticket ticket{dueAt, ++lastNumber_};
    pending_.emplace(ticket, std::move(callback));
    return ticket;
  }
  /// Has no effect on a callback that has run already, or on an empty ticket.
  void cancel(Ticket ticket) { pending_.erase(ticket); }
  /// When the earliest callback is due; TimePoint::max() if none is pending.
  TimePoint nextDueAt() const { return pending_.empty() ? TimePoint::max() : pending_.begin()->first.dueAt; }

  /// Runs what is due. What is added meanwhile waits for the next run, so that none can keep the loop to
  /// itself.
  void run(TimePoint now) {
    const std::uint64_t lastBeforeRun = lastNumber_;
    for (auto at = pending_.begin(); at != pending_.end() && at->first.dueAt <= now; at = pending_.begin()) {
      while (at != pending_.end() && at->first.number > lastBeforeRun) ++at;
      if (at == pending_.end() || at->first.dueAt > now) return;
      const auto due = pending_.extract(at);
      late_ = std::max(late_ / 2, now - due.key().dueAt);
      due.mapped()(now);
    }
  }
  /// By how much callbacks have lately run late, or do now.
  Duration late(TimePoint now) const { return pending_.empty() ? late_ : std::max(late_, now - nextDueAt()); }

 private:
  std::map<Ticket, Callback> pending_;
  std::uint64_t lastNumber_ = 0;
  Duration late_{0};
};

}  // namespace merlinbridge::core
