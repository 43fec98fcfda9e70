#include "util/timer_table.hpp"

#include <utility>

namespace merlinbridge::util {

TimerId TimerTable::add(Callback callback) {
  ++lastId_;
  callbacks_.emplace(lastId_, std::move(callback));
  return {lastId_};
}

void TimerTable::fire(TimerId timer) {
  const auto found = callbacks_.find(timer.value);
  if (found == callbacks_.end()) return;
  const Callback callback = std::move(found->second);
  callbacks_.erase(found);
  callback();
}

}  // namespace merlinbridge::util
