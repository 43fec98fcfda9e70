#pragma once

#include <utility>

namespace merlinbridge::net {

/// Detects readiness that the system does not report, for example after a failed epoll_ctl(), whose result
/// Asio ignores. After each check interval, EventLoop::run() polls the awaited events of all connections,
/// marks the connections that are ready, and handles all pending completions. A wait that is still open on a
/// marked connection has then missed its readiness.
///
/// Events are poll() flags: POLLIN, POLLOUT.
class ReadinessWatchdog {
 public:
  /// A wait for `events` has started.
  void waitStarted(short events) { awaitedEvents_ |= events; }
  /// A completion handler of this connection has run. `events`: those whose wait has ended; 0 if none.
  void completionRan(short events) {
    awaitedEvents_ &= static_cast<short>(~events);
    readySinceCheck_ = false;
  }
  /// The events that open waits are for; 0 if there are none.
  short awaitedEvents() const { return awaitedEvents_; }
  /// poll() has reported an awaited event.
  void markReady() { readySinceCheck_ = true; }
  /// Returns true if a wait is still open although its descriptor was marked ready. Clears the mark.
  bool takeMissedWait() { return std::exchange(readySinceCheck_, false) && awaitedEvents_ != 0; }

 private:
  short awaitedEvents_ = 0;
  bool readySinceCheck_ = false;  ///< Marked ready by the last check; no completion has run since.
};

}  // namespace merlinbridge::net
