#pragma once

#include <boost/asio/coroutine.hpp>
#include <cstddef>
#include <initializer_list>
#include <string_view>

#include "net/buffer.hpp"
#include "net/connection_callbacks.hpp"
#include "net/stream_socket.hpp"

namespace merlinbridge::net {

/// The result of a StreamWriter call that the connection must act on.
enum class WriteEvent {
  none,        ///< Nothing to act on: some bytes are still unsent, or there was nothing to write.
  allWritten,  ///< This call has written the last unsent byte.
  failed       ///< The connection is broken, or ConnectionCallbacks::mayWrite() forbids the rest.
};

/// Writes a connection's bytes. Bytes that the socket does not accept immediately are kept at the end of the
/// connection's buffer, after the received bytes, and written once the socket is writable or, after a local
/// resource shortage, when the retry pause is over.
class StreamWriter {
 public:
  StreamWriter(StreamSocket& socket, Buffer& buffer, ConnectionCallbacks& callbacks)
      : socket_(socket), buffer_(buffer), callbacks_(callbacks) {}

  /// Writes `parts` (at most four) with one system call if nothing is unsent, and appends what is left over
  /// to the unsent bytes, which the caller must flush. Appends nothing if it returns `failed`, also for want
  /// of buffer memory; see ConnectionCallbacks::mayGrowBuffer().
  WriteEvent send(std::initializer_list<std::string_view> parts);
  /// Appends to the unsent bytes and schedules a flush for the end of this turn.
  void sendLater(std::string_view part);
  /// Tries to write the unsent bytes, and starts a wait if some remain.
  WriteEvent flush();
  /// Continues after a wait that ended with `error`.
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
  std::size_t unsent_ = 0;       ///< Number of unsent bytes, which are at the end of the buffer.
  CallStatus lastStatus_{};      ///< Of the last write.
  bool waiting_ = false;         ///< A wait is open, after which step() continues.
  bool flushScheduled_ = false;  ///< A flush is scheduled for the end of this turn.
  asio::coroutine coroutine_;
};

}  // namespace merlinbridge::net
