#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

#include "policy_api/time.hpp"
#include "util/log.hpp"

namespace merlinbridge::net {

/// A system call, or a group of system calls whose failures are counted together.
enum class SystemCall {
  accept,
  registration,  ///< Registering a descriptor with the event loop (epoll).
  socket,
  connect,
  receive,
  send,
  wait  ///< Waiting for a descriptor to become ready.
};

/// The name of the call in log lines.
std::string_view nameOf(SystemCall call);
/// The system's message for the errno value `error`; "none" for 0.
std::string errorText(int error);

/// Counts failed system calls by call and errno, and stalls of the event loop. The first failure of each kind
/// is logged immediately. Later ones are aggregated into at most one line per kind every ten seconds, so that
/// a lasting shortage does not flood the log. Used on the event loop's strand.
class FaultLog {
 public:
  /// `log` must outlive the fault log.
  explicit FaultLog(Log& log) : log_(log) {}

  /// Counts one failure with the errno `error`. `action` is what the gateway does about it, for the log.
  void record(TimePoint now, SystemCall call, int error, std::string_view action);
  /// Counts one stall of the event loop: deadlines ran `late` after they were due because the process was
  /// suspended or blocked. Each log line gives the longest stall since the previous line.
  void recordEventLoopStall(TimePoint now, Duration late);
  /// Logs the total for each kind of failure.
  void logTotals();

 private:
  struct FailureCount {
    std::uint64_t total = 0;
    std::uint64_t sinceLogged = 0;
    TimePoint loggedAt{};
  };
  /// Increments `count`. Returns true if a log line is due.
  static bool countAndCheckDue(FailureCount& count, TimePoint now);

  Log& log_;
  std::map<std::pair<SystemCall, int>, FailureCount> failures_;  ///< By call and errno.
  FailureCount eventLoopStalls_;
  Duration longestStall_{0};  ///< Since the last log line.
};

}  // namespace merlinbridge::net
