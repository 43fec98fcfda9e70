#pragma once

#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>

#include "net/event_loop.hpp"
#include "net/system_calls.hpp"

namespace merlinbridge::daemon {

/// What a signal requests from the daemon.
enum class Signal {
  terminate,  ///< SIGTERM and SIGINT: graceful shutdown.
  hangUp      ///< SIGHUP: reload of the platform's configuration.
};

/// Catches SIGTERM, SIGINT and SIGHUP from its construction on and delivers them to the event loop. The
/// signal is stored in a flag and the pipe only wakes the loop, so a failed write or read delays a signal
/// until the next deliverPending() but does not lose it. A process may have only one instance at a time,
/// since signal handlers are global.
class SignalWatch {
 public:
  /// Runs on the event loop's strand.
  using Handler = std::function<void(Signal)>;

  /// Throws std::system_error if the pipe cannot be created.
  SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;
  /// Restores the signals' default actions.
  ~SignalWatch();

  /// From now on `handler` is called for each signal, including those already received. Pending signals of
  /// the same kind are delivered as one. The loop, and what the handler refers to, must live until
  /// stopDelivery().
  void deliverTo(net::EventLoop& loop, Handler handler);
  /// Stops delivery; later signals are kept pending. To be called before the loop is destroyed.
  void stopDelivery();
  /// Delivers the signals received so far. Called when the pipe is readable, and at intervals in case a
  /// wake-up was lost.
  void deliverPending();

 private:
  void waitForWake();
  void drainPipe();

  net::Descriptor readEnd_;
  net::Descriptor writeEnd_;
  /// The read end as registered with the loop; null while nothing is delivered.
  std::unique_ptr<net::asio::posix::basic_stream_descriptor<net::Strand>> wakeStream_;
  bool waiting_ = false;  ///< The loop is waiting for the read end.
  net::EventLoop* loop_ = nullptr;
  Handler handler_;
};

}  // namespace merlinbridge::daemon
