#pragma once

#include <boost/asio/coroutine.hpp>

#include "net/buffer.hpp"
#include "net/connection_callbacks.hpp"
#include "net/stream_socket.hpp"
#include "net/stream_writer.hpp"

namespace merlinbridge::net {

/// Reads a connection's bytes into its buffer and calls ConnectionCallbacks::onData(). Reading pauses while
/// ConnectionCallbacks::readBufferFull() is true, and while bytes are unsent, since these follow the received
/// bytes in the same buffer. resume() ends the pause.
class StreamReader {
 public:
  StreamReader(StreamSocket& socket, Buffer& buffer, const StreamWriter& writer,
               ConnectionCallbacks& callbacks)
      : socket_(socket), buffer_(buffer), writer_(writer), callbacks_(callbacks) {}

  /// The first call starts reading; later calls continue after a wait that ended with `error`. Calls
  /// ConnectionCallbacks::onClosed() when the stream has ended or the connection is broken.
  void step(const Error& error);
  /// Resumes reading if it is paused and nothing prevents it any longer.
  void resume();
  /// Reads ahead as onData() is about to be called, but without calling it. Returns false if the stream has
  /// ended or is broken; the connection is then to be closed.
  bool readAhead();
  /// Reads and discards unread bytes. Called before a close: closing a socket with unread bytes resets the
  /// connection, and a reset discards data that the peer has not read yet.
  void discard();

 private:
  CallStatus readMessages();
  CallStatus fillBuffer();
  bool mayReserve(std::size_t bytes) const;
  CallStatus readRefused(std::size_t sizeBefore);

  StreamSocket& socket_;
  Buffer& buffer_;
  const StreamWriter& writer_;
  ConnectionCallbacks& callbacks_;
  bool paused_ = false;
  CallStatus lastStatus_{};  ///< Of the last read.
  asio::coroutine coroutine_;
};

}  // namespace merlinbridge::net
