#pragma once

#include <poll.h>

#include <boost/asio/basic_waitable_timer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "gateway_core/deadline_queue.hpp"
#include "gateway_core/slot_table.hpp"
#include "net/clock.hpp"
#include "net/fault_log.hpp"
#include "util/log.hpp"

namespace merlinbridge::net {

namespace asio = boost::asio;
/// The result of an Asio call or wait; false if it succeeded.
using Error = boost::system::error_code;
/// Handlers bound to it never run concurrently; the gateway has one, EventLoop::strand.
using Strand = asio::strand<asio::io_context::executor_type>;
/// A TCP socket whose completions run on the strand.
using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;
/// An IP address with a port.
using SocketAddress = asio::ip::tcp::endpoint;
using core::SlotRef;

class Connection;

/// Parses "10.0.0.4:8080" or an IPv6 address with a port; names are not resolved. Throws
/// std::invalid_argument.
SocketAddress parseAddress(const std::string& address);

/// The event loop of the daemon's one thread. It owns all connections in numbered slots and all deadlines,
/// and defines the turn: everything that one completion handler does, from its start to endTurn(). Every
/// function is called on the strand.
///
/// Within a turn the time stands still, connections that are closed live on, and writes of sendLater() are
/// collected; endTurn() runs what is due, flushes, destroys closed connections and sets the one system timer.
class EventLoop {
 public:
  /// What run() calls after each check interval.
  using PeriodicCheck = std::function<void()>;

  /// `eventLog` and `clock` must outlive the loop.
  EventLoop(Log& eventLog, const Clock& clock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// The time of this turn; the clock is read once in a turn.
  TimePoint now() {
    if (!turnTime_) turnTime_ = clock_.now();
    return *turnTime_;
  }
  /// The connection in that slot; nullptr if it has been closed, also if the slot is in use again.
  Connection* find(SlotRef);
  /// The same for a connection of known kind. The caller knows that `ref` names a `Kind`; there is no check.
  template <class Kind>
  Kind* find(SlotRef ref) {
    return static_cast<Kind*>(find(ref));
  }
  /// Creates a connection, `Kind(loop, args...)`, which the loop owns until closeDeferred().
  template <class Kind, class... Args>
  Kind& open(Args&&... args) {
    const SlotRef ref = connections_.add(std::make_unique<Kind>(*this, std::forward<Args>(args)...));
    auto& connection = static_cast<Kind&>(**connections_.find(ref));
    connection.assignSlot(ref);
    return connection;
  }
  /// Deadlines may run up to `window` late, in the turn of another event, instead of in a turn of their own.
  void setTimerCoalescing(Duration window) { coalescingWindow_ = window; }
  /// Sets the first pause before a call is repeated that failed for a shortage of this machine.
  void setRetryPause(Duration pause) { retryPause_ = pause; }
  Duration retryPause() const { return retryPause_; }
  /// Closes a connection's socket at once and frees its slot; the object lives on until the turn ends, so
  /// that its callers on the stack may return through it. Has no effect if the connection is gone.
  void closeDeferred(SlotRef);
  /// Calls the connection's flush() at the end of this turn.
  void flushLater(SlotRef ref) { pendingFlushes_.push_back(ref); }
  /// Sets the longest time that run() waits without a check; see run().
  void setCheckInterval(Duration interval) { checkInterval_ = interval; }
  /// Handles events until `io` is stopped. After each check interval it looks for missed readiness, calls
  /// `check` and ends a turn, so that what is due is done even if the system has lost the timer or reports no
  /// readiness.
  void run(const PeriodicCheck& check);
  /// Ends a turn; every completion handler calls it last. See the class.
  void endTurn();

  asio::io_context io{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};  ///< One thread: no locks.
  Strand strand;                                            ///< The only one; all handlers run on it.
  core::DeadlineQueue deadlines;                            ///< Its callbacks run in endTurn().
  Log& log;
  FaultLog faults;  ///< Failed system calls and stalls.

 private:
  /// Counts on the monotonic clock, whatever `clock_` is.
  using SystemTimer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                                 asio::wait_traits<std::chrono::steady_clock>, Strand>;

  void armTimer(TimePoint at);
  void runDueDeadlines();
  void recoverMissedReadiness();

  const Clock& clock_;
  Duration coalescingWindow_{0};
  Duration checkInterval_ = std::chrono::milliseconds(125);
  Duration retryPause_ = std::chrono::milliseconds(5);
  std::optional<TimePoint> turnTime_;  ///< Empty until now() is called in this turn.
  core::SlotTable<std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closing_;  ///< Closed in this turn.
  std::vector<SlotRef> pendingFlushes_;
  /// Of recoverMissedReadiness(), kept to reuse their memory: row by row, what is polled and for which
  /// connection.
  std::vector<pollfd> pollDescriptors_;
  std::vector<SlotRef> polledConnections_;
  SystemTimer timer_;
  TimePoint armedFor_ = TimePoint::max();  ///< When the system timer fires; max() if it is not set.
};

}  // namespace merlinbridge::net
