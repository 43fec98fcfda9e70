#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "policy_api/time.hpp"

namespace merlinbridge::emulator {

/// The events of a run by virtual time, and its clock. Of two events at the same instant, the one that was
/// added first runs first.
class EventQueue {
 public:
  using Event = std::function<void()>;

  explicit EventQueue(TimePoint begin) : now_(begin) {}

  TimePoint now() const { return now_; }
  /// Adds an event; a time in the past counts as now.
  void at(TimePoint time, Event event) {
    heap_.push_back({std::max(time, now_), ++lastNumber_, std::move(event)});
    std::push_heap(heap_.begin(), heap_.end(), isLater);
  }
  void after(Duration delay, Event event) { at(now_ + delay, std::move(event)); }
  /// Runs the next event, and returns true. If there is none up to that time, the clock is set to it, and
  /// false is returned.
  bool step(TimePoint until) {
    if (heap_.empty() || heap_.front().time > until) {
      now_ = std::max(now_, until);
      return false;
    }
    std::pop_heap(heap_.begin(), heap_.end(), isLater);
    Entry next = std::move(heap_.back());
    heap_.pop_back();
    now_ = next.time;
    next.event();
    return true;
  }
  std::size_t size() const { return heap_.size(); }

 private:
  struct Entry {
    TimePoint time;
    std::uint64_t number = 0;  ///< In the order in which events were added.
    Event event;
  };
  static bool isLater(const Entry& a, const Entry& b) {
    return std::pair(a.time, a.number) > std::pair(b.time, b.number);
  }

  TimePoint now_;
  std::uint64_t lastNumber_ = 0;
  std::vector<Entry> heap_;
};

}  // namespace merlinbridge::emulator
