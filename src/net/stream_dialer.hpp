#pragma once

#include <boost/asio/coroutine.hpp>

#include "net/stream_socket.hpp"

namespace merlinbridge::net {

/// How far a dial has come.
enum class DialProgress {
  pending,    ///< ConnectionStep::dial runs again when its wait ends.
  connected,  ///< The socket is connected.
  failed      ///< The peer or the network path refused; StreamSocket::lastError() is the errno.
};

/// Dials one peer. A shortage of this machine (descriptors, ports, routes) does not end a dial: it is
/// repeated after a pause, for as long as the connection's wait timer allows.
class StreamDialer {
 public:
  explicit StreamDialer(StreamSocket& socket) : socket_(socket) {}

  /// Starts to dial. Always pending afterwards: the outcome comes in a later turn, so the caller is not
  /// called back before this returns.
  void begin(const SocketAddress& peer);
  /// Goes on when a wait has ended; `error` is that of the wait.
  DialProgress step(const Error& error);
  /// Returns true if the last try failed for a shortage of this machine.
  bool failedLocally() const { return result_.status == CallStatus::shortage; }

 private:
  CallResult dial();
  CallResult resultAfterWait(const Error& error);

  StreamSocket& socket_;
  SocketAddress peer_;
  CallResult result_;  ///< Of the last try.
  asio::coroutine coroutine_;
};

}  // namespace merlinbridge::net
