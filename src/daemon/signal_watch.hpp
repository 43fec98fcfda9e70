#pragma once

#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>

#include "net/event_loop.hpp"
#include "net/system_calls.hpp"

namespace merlinbridge::daemon {

/// The signals that the daemon heeds.
enum class Signal { terminate, hangUp };

/// Catches SIGTERM, SIGINT and SIGHUP from its construction on, and hands each to the event loop. The signal
/// itself is kept in a flag; the pipe only wakes the loop, so a failed write or read delays a signal to the
/// next check() and loses none. One at a time in a process.
class SignalWatch {
 public:
  using Handler = std::function<void(Signal)>;

  /// Throws std::system_error where the system gives no pipe.
  SignalWatch();
  SignalWatch(const SignalWatch&) = delete;
  SignalWatch& operator=(const SignalWatch&) = delete;
  /// From then on the signals have their default effect again.
  ~SignalWatch();

  /// From here on `handler` is called for each signal, those that have come already included. Several of a
  /// kind that come together count as one.
  void deliverTo(net::EventLoop& loop, Handler handler);
  /// Before the loop goes: signals that come are kept.
  void stopDelivery();
  /// Delivers what has come.
  void check();

 private:
  void waitForWake();
  void emptyPipe();

  net::Descriptor readEnd_, writeEnd_;
  std::unique_ptr<net::asio::posix::basic_stream_descriptor<net::Strand>> wakes_;
  bool waiting_ = false;
  net::EventLoop* loop_ = nullptr;
  Handler handler_;
};

}  // namespace merlinbridge::daemon
