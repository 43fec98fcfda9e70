#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "policy_api/time.hpp"

namespace merlinbridge::emulator {

/// The pending events of a run, ordered by virtual time, and its clock. Events at the same instant run in the
/// order in which they were added.
class EventQueue {
 public:
  using Event = std::function<void()>;

  explicit EventQueue(TimePoint start) : now_(start) {}

  TimePoint now() const { return now_; }
  /// Schedules an event; a time in the past counts as now.
  void at(TimePoint time, Event event) {
    heap_.push_back({std::max(time, now_), ++lastNumber_, std::move(event)});
    std::push_heap(heap_.begin(), heap_.end(), isLater);
  }
  void after(Duration delay, Event event) { at(now_ + delay, std::move(event)); }
  /// Runs the next event up to `until` and returns true. If there is none, sets the clock to `until` and
  /// returns false.
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
    std::uint64_t number = 0;  ///< Order in which events were added.
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
