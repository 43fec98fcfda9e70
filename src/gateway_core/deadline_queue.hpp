#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>

#include "policy_api/time.hpp"

namespace merlinbridge::core {

/// Callbacks by time, in one ordered structure. Of two that are due together, the one added first runs first.
class DeadlineQueue {
 public:
  /// Names a callback that waits; the number is never used again, and never 0.
  using Ticket = std::pair<TimePoint, std::uint64_t>;
  /// Called once, when its time has come.
  using What = std::function<void(TimePoint now)>;

  Ticket add(TimePoint at, What what) {
    const Ticket ticket{at, ++last_};
    waiting_.emplace(ticket, std::move(what));
    return ticket;
  }
  void drop(Ticket ticket) { waiting_.erase(ticket); }
  TimePoint next() const { return waiting_.empty() ? TimePoint::max() : waiting_.begin()->first.first; }

  /// Runs what is due. What is added meanwhile waits for the next run, so that none can keep the loop to
  /// itself.
  void run(TimePoint now) {
    const std::uint64_t until = last_;
    for (auto at = waiting_.begin(); at != waiting_.end() && at->first.first <= now; at = waiting_.begin()) {
      while (at != waiting_.end() && at->first.second > until) ++at;
      if (at == waiting_.end() || at->first.first > now) return;
      const auto due = waiting_.extract(at);
      late_ = std::max(late_ / 2, now - due.key().first);
      due.mapped()(now);
    }
  }
  /// By how much callbacks have lately run late, or do now.
  Duration late(TimePoint now) const { return waiting_.empty() ? late_ : std::max(late_, now - next()); }

 private:
  std::map<Ticket, What> waiting_;
  std::uint64_t last_ = 0;
  Duration late_{0};
};

}  // namespace merlinbridge::core
