#pragma once

#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>

#include "net/event_loop.hpp"
#include "net/system_calls.hpp"

namespace merlinbridge::daemon {

/// What a signal asks of the daemon.
enum class Signal {
  terminate,  ///< SIGTERM and SIGINT: graceful shutdown.
  hangUp      ///< SIGHUP: reload of the platform's configuration.
};

/// Catches SIGTERM, SIGINT and SIGHUP from its construction on, and hands each to the event loop. The signal
/// itself is kept in a flag; the pipe only wakes the loop, so a failed write or read delays a signal to the
/// next deliverPending() and loses none. One at a time in a process, since signal handlers are the process's
/// own.
class SignalWatch {
 public:
  /// Runs on the event loop's strand.
  using Handler = std::function<void(Signal)>;

  /// Throws std::system_error where the system gives no pipe.
  SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;
  /// From then on the signals have their default effect again.
  ~SignalWatch();

  /// From here on `handler` is called for each signal, those that have come already included. Several of a
  /// kind that come together count as one. The loop, and what the handler refers to, must live until
  /// stopDelivery().
  void deliverTo(net::EventLoop& loop, Handler handler);
  /// Ends delivery; signals that come later are kept. To be called before the loop is destroyed.
  void stopDelivery();
  /// Delivers what has come. Called by the pipe's handler, and at intervals in case a wake was lost.
  void deliverPending();

 private:
  void waitForWake();
  void drainPipe();

  net::Descriptor readEnd_;
  net::Descriptor writeEnd_;
  /// The read end as the loop waits for it; none: nothing is delivered.
  std::unique_ptr<net::asio::posix::basic_stream_descriptor<net::Strand>> wakeStream_;
  bool waiting_ = false;  ///< A wait for the read end is pending in the loop.
  net::EventLoop* loop_ = nullptr;
  Handler handler_;
};

}  // namespace merlinbridge::daemon
