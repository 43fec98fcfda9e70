#pragma once

#include <boost/asio/coroutine.hpp>

#include "net/stream_socket.hpp"

namespace merlinbridge::net {

/// The state of a dial.
enum class DialProgress {
  pending,    ///< ConnectionStep::dial runs again when its wait ends.
  connected,  ///< The socket is connected.
  failed      ///< The peer refused or is unreachable; StreamSocket::lastError() is the errno.
};

/// Connects to one peer. A local resource shortage (descriptors, ports, routes) does not end the dial: it is
/// retried after a pause until the connection's wait timer fires.
class StreamDialer {
 public:
  explicit StreamDialer(StreamSocket& socket) : socket_(socket) {}

  /// Starts the dial. Its outcome always follows in a later turn, so the caller is never called back before
  /// this returns.
  void begin(const SocketAddress& peer);
  /// Continues after a wait that ended with `error`.
  DialProgress step(const Error& error);
  /// Returns true if the last system call of the dial failed for a local resource shortage.
  bool failedLocally() const { return result_.status == CallStatus::shortage; }

 private:
  CallResult dial();
  CallResult resultAfterWait(const Error& error);

  StreamSocket& socket_;
  SocketAddress peer_;
  CallResult result_;  ///< Of the last system call.
  asio::coroutine coroutine_;
};

}  // namespace merlinbridge::net
