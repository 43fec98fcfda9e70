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
using Error = boost::system::error_code;
using Strand = asio::strand<asio::io_context::executor_type>;
using Socket = asio::basic_stream_socket<asio::ip::tcp, Strand>;
using SocketAddress = asio::ip::tcp::endpoint;
using core::SlotRef;

class Connection;

/// "10.0.0.4:8080"; throws std::invalid_argument.
SocketAddress parseAddress(const std::string& address);

/// The one thread's loop: all connections in numbered slots, all deadlines, and what every turn ends with.
class EventLoop {
 public:
  EventLoop(Log& lines, const Clock&);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// The time of this turn, read once.
  TimePoint now() {
    if (!turnAt_) turnAt_ = clock_.now();
    return *turnAt_;
  }
  Connection* find(SlotRef);
  template <class Kind>
  Kind* find(SlotRef ref) {
    return static_cast<Kind*>(find(ref));
  }
  template <class Kind, class... Args>
  Kind& open(Args&&... args) {
    const SlotRef ref = connections_.add(std::make_unique<Kind>(*this, std::forward<Args>(args)...));
    auto& made = static_cast<Kind&>(**connections_.find(ref));
    made.assignSlot(ref);
    return made;
  }
  /// What is due may wait for so long to ride on a turn that comes for something else.
  void coalesceTimersWithin(Duration ride) { coalesceWithin_ = ride; }
  /// After a shortage of this machine's, a call is made again after so long at first.
  void setRetryPause(Duration pause) { retryPause_ = pause; }
  Duration retryPause() const { return retryPause_; }
  /// Closes a connection at once; it lives on until the turn ends.
  void closeDeferred(SlotRef);
  void flushLater(SlotRef ref) { toFlush_.push_back(ref); }
  /// No wait of run() lasts longer.
  void setCheckInterval(Duration interval) { checkInterval_ = interval; }
  /// Runs until `io` is stopped, and calls `check` after each interval: what is due is done then even where
  /// the system has passed on neither the timer nor a connection's readiness.
  void run(const std::function<void()>& check);
  /// Every handler ends with it: what is due is done, what was put off is written, the timer is set.
  void endTurn();

  asio::io_context io{BOOST_ASIO_CONCURRENCY_HINT_UNSAFE};  ///< one thread: no locks
  Strand strand;
  core::DeadlineQueue deadlines;
  Log& log;
  FaultLog faults;

 private:
  void arm(TimePoint);
  void runDue();
  void recoverMissedReadiness();

  const Clock& clock_;
  Duration coalesceWithin_{0};
  Duration checkInterval_ = std::chrono::milliseconds(125);
  Duration retryPause_ = std::chrono::milliseconds(5);
  std::optional<TimePoint> turnAt_;
  core::SlotTable<std::unique_ptr<Connection>> connections_;
  std::vector<std::unique_ptr<Connection>> closing_;
  std::vector<SlotRef> toFlush_;
  std::vector<pollfd> polled_;  ///< Of recoverMissedReadiness(): with `polledConnections_`.
  std::vector<SlotRef> polledConnections_;
  asio::basic_waitable_timer<std::chrono::steady_clock, asio::wait_traits<std::chrono::steady_clock>, Strand>
      timer_;
  TimePoint armedFor_ = TimePoint::max();
};

}  // namespace merlinbridge::net
