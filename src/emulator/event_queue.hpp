#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>
#include <vector>

#include "policy_api/time.hpp"

namespace merlinbridge::emulator {

/// What is to happen, by virtual time: of two things at the same instant, the one that was put down first.
class EventQueue {
 public:
  using What = std::function<void()>;

  explicit EventQueue(TimePoint begin) : now_(begin) {}

  TimePoint now() const { return now_; }
  void at(TimePoint when, What what) {
    heap_.push_back({std::max(when, now_), ++last_, std::move(what)});
    std::push_heap(heap_.begin(), heap_.end(), later);
  }
  void after(Duration span, What what) { at(now_ + span, std::move(what)); }
  /// The next thing happens; false where there is none up to that time, which then has come.
  bool step(TimePoint until) {
    if (heap_.empty() || heap_.front().at > until) return now_ = std::max(now_, until), false;
    std::pop_heap(heap_.begin(), heap_.end(), later);
    Entry next = std::move(heap_.back());
    heap_.pop_back();
    now_ = next.at;
    next.what();
    return true;
  }
  std::size_t size() const { return heap_.size(); }

 private:
  struct Entry {
    TimePoint at;
    std::uint64_t order;
    What what;
  };
  static bool later(const Entry& a, const Entry& b) {
    return std::pair(a.at, a.order) > std::pair(b.at, b.order);
  }

  TimePoint now_;
  std::uint64_t last_ = 0;
  std::vector<Entry> heap_;
};

}  // namespace merlinbridge::emulator
