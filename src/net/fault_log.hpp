#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "policy_api/time.hpp"
#include "util/log.hpp"

namespace merlinbridge::net {

/// A system call, or a group of them, whose failures are counted together.
enum class SystemCall {
  accept,
  registration,  ///< Of a descriptor with the event loop (epoll).
  socket,
  connect,
  receive,
  send,
  wait  ///< For readiness of a descriptor.
};

/// The call's name in log lines.
std::string_view nameOf(SystemCall call);
/// The system's text for the errno `error`; "none" for 0.
std::string errorText(int error);

/// Counts failed system calls by call and errno, and stalls of the event loop. The first of a kind is logged
/// at once; those that follow are logged with their number, at most one line of a kind in ten seconds, so
/// that a shortage which lasts does not fill the log. Used on the event loop's strand.
class FaultLog {
 public:
  /// `log` must outlive the fault log.
  explicit FaultLog(Log& log) : log_(log) {}

  /// Counts one failure with the errno `error`. `consequence` is what the gateway does about it, for the log.
  void record(TimePoint now, SystemCall call, int error, std::string_view consequence);
  /// Counts one stall of the event loop: timers ran `late` after they were due, since the process did not run
  /// or blocked. A line gives the longest stall since the line before.
  void recordEventLoopStall(TimePoint now, Duration late);
  /// Logs one line for each kind of failure counted since the start.
  void logTotals();

 private:
  struct FailureCount {
    std::uint64_t total = 0;
    std::uint64_t sinceLogged = 0;
    TimePoint loggedAt{};
  };
  /// Counts one more. Returns true if a line is due.
  static bool countAndCheckDue(FailureCount& count, TimePoint now);

  Log& log_;
  std::map<std::pair<SystemCall, int>, FailureCount> failures_;  ///< By call and errno.
  FailureCount eventLoopStalls_;
  Duration longestStall_{0};  ///< Since the last line.
};

}  // namespace merlinbridge::net
