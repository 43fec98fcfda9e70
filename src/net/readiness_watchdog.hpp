#pragma once

#include <utility>

namespace merlinbridge::net {

/// Finds waits for readiness that the system does not end although the descriptor is ready, as after a failed
/// epoll_ctl, whose result Asio ignores. EventLoop::run() checks all connections after each check interval:
/// it polls the awaited events, marks those that are ready, handles all pending completions, and then takes
/// every wait that is still open on a marked descriptor for missed.
///
/// Events are bits as poll() names them: POLLIN, POLLOUT.
class ReadinessWatchdog {
 public:
  void waitStarted(short events) { awaitedEvents_ |= events; }
  /// A completion of this connection has run; `events` are those whose wait it ends, 0 if none.
  void completionRan(short events) {
    awaitedEvents_ &= static_cast<short>(~events);
    readySinceCheck_ = false;
  }
  /// The events that are waited for; 0 if there is no wait.
  short awaitedEvents() const { return awaitedEvents_; }
  /// poll() reports an awaited event.
  void markReady() { readySinceCheck_ = true; }
  /// Returns true if a wait is still open although its descriptor was marked ready, and forgets the mark.
  bool takeMissedWait() { return std::exchange(readySinceCheck_, false) && awaitedEvents_ != 0; }

 private:
  short awaitedEvents_ = 0;
  bool readySinceCheck_ = false;  ///< Marked ready by the last check, and no completion has run since.
};

}  // namespace merlinbridge::net
