#pragma once

namespace merlinbridge::net {

/// Detects readiness that the system does not report, for example after a failed epoll_ctl(), whose result
/// Asio ignores. After each check interval, EventLoop::run() polls the awaited events of all connections,
/// marks the connections that are ready, and handles all pending completions. A wait that is still open on a
/// marked connection has then missed its readiness. If more completions are pending than a check may handle,
/// a wait counts as missed once two checks in a row have found its connection ready.
///
/// Events are poll() flags: POLLIN, POLLOUT.
class ReadinessWatchdog {
 public:
  /// A wait for `events` has started.
  void waitStarted(short events) { awaitedEvents_ |= events; }
  /// A completion handler of this connection has run. `events`: those whose wait has ended; 0 if none.
  void completionRan(short events) {
    awaitedEvents_ &= static_cast<short>(~events);
    checksWhileReady_ = 0;
  }
  /// The events that open waits are for; 0 if there are none.
  short awaitedEvents() const { return awaitedEvents_; }
  /// poll() has reported an awaited event.
  void markReady() { ++checksWhileReady_; }
  /// Returns true if a wait is still open although its descriptor was marked ready. Clears the marks.
  /// `allHandled`: whether this check has handled all pending completions.
  bool takeMissedWait(bool allHandled = true) {
    if (checksWhileReady_ < (allHandled ? 1 : 2)) return false;
    checksWhileReady_ = 0;
    return awaitedEvents_ != 0;
  }

 private:
  short awaitedEvents_ = 0;
  int checksWhileReady_ = 0;  ///< Checks in a row that found it ready, with no completion since.
};

}  // namespace merlinbridge::net
