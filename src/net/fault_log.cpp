#include "net/fault_log.hpp"

#include <algorithm>
#include <system_error>

namespace merlinbridge::net {
namespace {

constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

std::string_view nameOf(SystemCall call) {
  switch (call) {
    case SystemCall::accept:
      return "accept";
    case SystemCall::registration:
      return "registration with the event loop";
    case SystemCall::socket:
      return "socket";
    case SystemCall::connect:
      return "connect";
    case SystemCall::receive:
      return "receive";
    case SystemCall::send:
      return "send";
    case SystemCall::wait:
      return "wait for readiness";
  }
  return "unknown";
}

bool FaultLog::countedDueForLog(FailureCount& count, TimePoint now) {
  ++count.total;
  ++count.sinceLogged;
  if (count.loggedAt != TimePoint{} && now - count.loggedAt < kLogInterval) return false;
  count.loggedAt = now;
  return true;
}

void FaultLog::record(TimePoint now, SystemCall call, int error, std::string_view consequence) {
  FailureCount& count = failures_[{call, error}];
  if (!countedDueForLog(count, now)) return;
  log_(Level::warning, "system_call_failed", nameOf(call), ": ", std::generic_category().message(error), "; ",
       consequence, " (", std::exchange(count.sinceLogged, 0), " since the last line)");
}

void FaultLog::recordHeldUp(TimePoint now, Duration late) {
  longestHeldUp_ = std::max(longestHeldUp_, late);
  if (!countedDueForLog(heldUp_, now)) return;
  log_(Level::warning, "held_up", "held up: timers ran ",
       std::chrono::duration_cast<std::chrono::milliseconds>(longestHeldUp_).count(), " ms late at most (",
       std::exchange(heldUp_.sinceLogged, 0), " times since the last line)");
  longestHeldUp_ = Duration{0};
}

void FaultLog::logTotals() {
  for (const auto& [kind, count] : failures_)
    log_(Level::info, "system_call_total", nameOf(kind.first), ": ",
         std::generic_category().message(kind.second), ", ", count.total, " times in all");
  if (heldUp_.total > 0) log_(Level::info, "held_up_total", "held up ", heldUp_.total, " times in all");
}

}  // namespace merlinbridge::net
