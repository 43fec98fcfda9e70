#pragma once

#include <poll.h>

#include <algorithm>
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
#include "net/buffer_budget.hpp"
#include "net/clock.hpp"
#include "net/fault_log.hpp"
#include "util/log.hpp"

namespace merlinbridge::net {

namespace asio = boost::asio;
/// The result of an Asio operation; converts to false on success.
using Error = boost::system::error_code;
/// Serializes the handlers bound to it; the gateway has only one, EventLoop::strand.
using Strand = asio::strand<asio::io_context::executor_type>;
/// A TCP socket whose completion handlers run on the strand.
using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;
/// An IP address with a port.
using SocketAddress = asio::ip::tcp::endpoint;
using core::SlotRef;

class Connection;

/// Parses an IP address with a port, such as "10.0.0.4:8080" or its IPv6 counterpart; host names are not
/// resolved. Throws std::invalid_argument if it is invalid.
SocketAddress parseAddress(const std::string& address);

/// The event loop of the daemon's single thread. It owns all connections, in numbered slots, and all
/// deadlines. A turn is everything one completion handler does, from its start to endTurn(). All functions
/// are called on the strand.
///
/// Within a turn, now() is constant, closed connections stay allocated, and the writes of sendLater() are
/// batched. endTurn() runs the deadlines that are due, flushes the batched writes, destroys closed
/// connections and sets the system timer.
class EventLoop {
 public:
  /// Called by run() after each check interval.
  using PeriodicCheck = std::function<void()>;

  /// `eventLog` and `clock` must outlive the loop.
  EventLoop(Log& eventLog, const Clock& clock);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// The time of this turn; the clock is read once per turn.
  TimePoint now() {
    if (!turnTime_) turnTime_ = clock_.now();
    return *turnTime_;
  }
  /// See Clock::newestArrivalAt(); never later than now().
  TimePoint newestArrivalAt(int socket) { return std::min(now(), clock_.newestArrivalAt(socket)); }
  /// The connection in that slot; nullptr if it has been closed, even if the slot has been reused since.
  Connection* find(SlotRef);
  /// As above, cast to `Kind`. Unchecked: the caller guarantees that `ref` refers to a `Kind`.
  template <class Kind>
  Kind* find(SlotRef ref) {
    return static_cast<Kind*>(find(ref));
  }
  /// Creates a connection as `Kind(loop, args...)`. The loop owns it until closeDeferred().
  template <class Kind, class... Args>
  Kind& open(Args&&... args) {
    const SlotRef ref = connections_.add(std::make_unique<Kind>(*this, std::forward<Args>(args)...));
    auto& connection = static_cast<Kind&>(**connections_.find(ref));
    connection.assignSlot(ref);
    return connection;
  }
  /// Lets deadlines run up to `window` late, so that they can share the turn of another event.
  void setTimerCoalescing(Duration window) { coalescingWindow_ = window; }
  /// Sets the initial pause before retrying a call that failed for a local resource shortage.
  void setRetryPause(Duration pause) { retryPause_ = pause; }
  Duration retryPause() const { return retryPause_; }
  /// Closes a connection's socket and frees its slot immediately. The object is destroyed at the end of the
  /// turn, so its callers on the stack can still return into it. No effect if already closed.
  void closeDeferred(SlotRef);
  /// Schedules the connection's flush() for the end of this turn.
  void flushLater(SlotRef ref) { pendingFlushes_.push_back(ref); }
  /// Sets the interval between the periodic checks of run().
  void setCheckInterval(Duration interval) { checkInterval_ = interval; }
  /// Handles events until `io` is stopped. After each check interval it looks for missed readiness, calls
  /// `check` and ends the turn, so that due work is done even if the system misses the timer or fails to
  /// report readiness.
  void run(const PeriodicCheck& check);
  /// Handles the events that are pending, but at most a bounded number. Returns true if none was left: then
  /// every readiness that the system has reported has been handled.
  bool handlePendingEvents();
  /// Ends a turn, as described at the class. Every completion handler must call it last.
  void endTurn();

  asio::io_context io{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};  ///< Single-threaded: no locking.
  Strand strand;                                            ///< All handlers run on it.
  core::DeadlineQueue deadlines;                            ///< The callbacks run in endTurn().
  Log& log;
  FaultLog faults;       ///< Failed system calls and stalls.
  BufferBudget buffers;  ///< Of all connections.

 private:
  /// Always uses the monotonic clock, whatever `clock_` is.
  using SystemTimer = asio::basic_waitable_timer<std::chrono::steady_clock,
                                                 asio::wait_traits<std::chrono::steady_clock>, Strand>;

  void armTimer(TimePoint expiry);
  void runDueDeadlines();
  void recoverMissedReadiness();

  const Clock& clock_;
  Duration coalescingWindow_{0};
  Duration checkInterval_ = std::chrono::milliseconds(125);
  Duration retryPause_ = std::chrono::milliseconds(5);
  std::optional<TimePoint> turnTime_;  ///< Empty until now() is called in this turn.
  core::SlotTable<std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closing_;  ///< Closed in this turn, destroyed at its end.
  std::vector<SlotRef> pendingFlushes_;
  /// Scratch space of recoverMissedReadiness(), kept as members to reuse the memory: the polled descriptors
  /// and, at the same index, their connections.
  std::vector<pollfd> pollDescriptors_;
  std::vector<SlotRef> polledConnections_;
  SystemTimer timer_;
  TimePoint armedFor_ = TimePoint::max();  ///< Expiry of the system timer; max() if it is not set.
};

}  // namespace merlinbridge::net
