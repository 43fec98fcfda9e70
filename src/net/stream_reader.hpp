#pragma once

#include <boost/asio/coroutine.hpp>

#include "net/buffer.hpp"
#include "net/connection_callbacks.hpp"
#include "net/stream_socket.hpp"
#include "net/stream_writer.hpp"

namespace merlinbridge::net {

/// Reads a connection's bytes into its buffer and calls ConnectionCallbacks::onData(). Reading pauses while
/// bytes are unsent, since these stand behind the received ones in the same buffer, and while
/// ConnectionCallbacks::readBufferFull() is true; resume() ends the pause.
class StreamReader {
 public:
  StreamReader(StreamSocket& socket, Buffer& buffer, const StreamWriter& writer,
               ConnectionCallbacks& callbacks)
      : socket_(socket), buffer_(buffer), writer_(writer), callbacks_(callbacks) {}

  /// Begins to read when first called; goes on when a wait has ended, `error` being that of the wait. Calls
  /// ConnectionCallbacks::onClosed() when the stream has ended or the connection is broken.
  void step(const Error& error);
  /// Goes on if reading has paused and the cause of the pause is gone.
  void resume();
  /// Reads and drops what has come. Called before a close: closing a socket with unread bytes resets the
  /// connection, and a reset takes with it what the peer has not read yet.
  void discard();

 private:
  CallStatus readMessages();
  CallStatus fillBuffer();

  StreamSocket& socket_;
  Buffer& buffer_;
  const StreamWriter& writer_;
  ConnectionCallbacks& callbacks_;
  bool paused_ = false;
  CallStatus lastStatus_{};  ///< Of the last read.
  asio::coroutine coroutine_;
};

}  // namespace merlinbridge::net
