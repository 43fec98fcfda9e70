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
enum class SystemCall { accept, registration, socket, connect, receive, send, wait };

std::string_view nameOf(SystemCall call);
/// The system's text for that errno; "none" for 0.
std::string errorText(int error);

/// Counts failed system calls by call and errno. The first of a kind is logged at once, those that follow
/// with their number, at most one line of a kind in ten seconds.
class FaultLog {
 public:
  explicit FaultLog(Log& log) : log_(log) {}

  /// `consequence`: what the gateway does about it, for the log.
  void record(TimePoint now, SystemCall call, int error, std::string_view consequence);
  /// Timers ran so much later than they were due: the process did not run, or waited somewhere.
  void recordHeldUp(TimePoint now, Duration late);
  /// One line for each kind of failure that has been counted.
  void logTotals();

 private:
  struct FailureCount {
    std::uint64_t total = 0;
    std::uint64_t sinceLogged = 0;
    TimePoint loggedAt{};
  };
  /// Counts one more. True: it is time for a line.
  static bool countedDueForLog(FailureCount& count, TimePoint now);

  Log& log_;
  std::map<std::pair<SystemCall, int>, FailureCount> failures_;
  FailureCount heldUp_;
  Duration longestHeldUp_{0};
};

}  // namespace merlinbridge::net
