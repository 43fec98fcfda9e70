#include "net/fault_log.hpp"

#include <algorithm>
#include <system_error>

namespace merlinbridge::net {
namespace {

// Minimum time between two log lines for the same kind of failure.
constexpr Duration kLogInterval = std::chrono::seconds(10);

}  // namespace

std::string errorText(int error) {
  return error == 0 ? "none" : std::generic_category().message(error);
}

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

bool FaultLog::countAndCheckDue(FailureCount& count, TimePoint now) {
  ++count.total;
  ++count.sinceLogged;
  if (count.loggedAt != TimePoint{} && now - count.loggedAt < kLogInterval) return false;
  count.loggedAt = now;
  return true;
}

void FaultLog::record(TimePoint now, SystemCall call, int error, std::string_view action) {
  FailureCount& count = failures_[{call, error}];
  if (!countAndCheckDue(count, now)) return;
  log_(LogEvent::systemCallFailed, LogField{"call", nameOf(call)}, LogField{"error", errorText(error)},
       LogField{"action", action}, LogField{"since_last_line", std::exchange(count.sinceLogged, 0)});
}

void FaultLog::recordEventLoopStall(TimePoint now, Duration late) {
  longestStall_ = std::max(longestStall_, late);
  if (!countAndCheckDue(eventLoopStalls_, now)) return;
  log_(LogEvent::eventLoopStalled,
       LogField{"late_ms", std::chrono::duration_cast<std::chrono::milliseconds>(longestStall_).count()},
       LogField{"since_last_line", std::exchange(eventLoopStalls_.sinceLogged, 0)});
  longestStall_ = Duration{0};
}

void FaultLog::logTotals() {
  for (const auto& [kind, count] : failures_)
    log_(LogEvent::systemCallFailuresTotal, LogField{"call", nameOf(kind.first)},
         LogField{"error", errorText(kind.second)}, LogField{"count", count.total});
  if (eventLoopStalls_.total > 0)
    log_(LogEvent::eventLoopStallsTotal, LogField{"count", eventLoopStalls_.total});
}

}  // namespace merlinbridge::net
