#pragma once

#include <boost/asio/coroutine.hpp>
#include <cstddef>
#include <initializer_list>
#include <string_view>

#include "net/buffer.hpp"
#include "net/connection_callbacks.hpp"
#include "net/stream_socket.hpp"

namespace merlinbridge::net {

/// What a call of the writer has brought about and the connection has to act on.
enum class WriteEvent {
  none,        ///< Bytes are still unsent and a wait is open, or there was nothing to write.
  allWritten,  ///< The last unsent byte has been written by this call.
  failed       ///< The connection is broken, or ConnectionCallbacks::mayWrite() forbids the rest.
};

/// Writes a connection's bytes. What the socket does not take at once is kept at the end of the connection's
/// buffer, behind the received bytes, and written when the socket is ready or a shortage has passed.
class StreamWriter {
 public:
  StreamWriter(StreamSocket& socket, Buffer& buffer, ConnectionCallbacks& callbacks)
      : socket_(socket), buffer_(buffer), callbacks_(callbacks) {}

  /// Writes `parts` (four at the most) with one call if nothing is unsent, and appends the rest to the unsent
  /// bytes; the caller flushes them. After `failed`, nothing has been appended.
  WriteEvent send(std::initializer_list<std::string_view> parts);
  /// Appends to the unsent bytes, which the event loop flushes at the end of this turn.
  void sendLater(std::string_view part);
  /// Tries to write the unsent bytes, and begins to wait for the socket if some remain.
  WriteEvent flush();
  /// Goes on when a wait has ended; `error` is that of the wait.
  WriteEvent step(const Error& error);

  std::size_t unsentBytes() const { return unsent_; }
  bool allWritten() const { return unsent_ == 0; }
  std::string_view unsent() const { return buffer_.view().substr(buffer_.size() - unsent_); }
  void replaceUnsent(std::string_view text);

 private:
  CallStatus writeUnsent();

  StreamSocket& socket_;
  Buffer& buffer_;
  ConnectionCallbacks& callbacks_;
  std::size_t unsent_ = 0;       ///< Bytes at the end of the buffer.
  CallStatus lastStatus_{};      ///< Of the last write.
  bool waiting_ = false;         ///< A wait is open after which step() writes on.
  bool flushScheduled_ = false;  ///< The event loop flushes at the end of this turn.
  asio::coroutine coroutine_;
};

}  // namespace merlinbridge::net
