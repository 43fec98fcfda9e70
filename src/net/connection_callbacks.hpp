#pragma once

#include <cstddef>

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// What one kind of connection (client, upstream, counter, discovery) implements: the events of its socket,
/// and the questions that reading, writing and waiting ask it. See Connection, which calls all of them.
///
/// All of them run on the event loop's one strand and never concurrently. A callback may close its own
/// connection with EventLoop::closeDeferred(); the object lives on until the turn ends, so that the code that
/// called it may return through it. None of them may throw.
class ConnectionCallbacks {
 public:
  /// The connection that connect() dialled is up. Called once, before the first onData(), and never from
  /// within connect(). Not called for an accepted connection.
  virtual void onConnected() {}
  /// At least one byte has been added to the front part of the buffer; see Connection::received(). The
  /// callback drops what it has used. Called again within one turn while expectsMore() is true.
  virtual void onData() = 0;
  /// The connection is over: the dial failed, the peer ended its stream or reset it, or a system call failed
  /// for good. Connection::halfClosedByPeer() and Connection::lastError() say which. The callback closes the
  /// connection; nothing is read afterwards.
  virtual void onClosed() = 0;
  /// Returns true while the read buffer is as full as this connection allows. Reading then stops until
  /// Connection::resumeReading() is called.
  virtual bool readBufferFull() const { return false; }
  /// Returns true while a message has begun and is incomplete. The reader then reads on in the same turn:
  /// readiness that has been reported once is not reported again for the rest of the message.
  virtual bool expectsMore() const { return false; }
  /// Bytes up to which the reader goes on reading before it calls onData(); 0 calls onData() after the first
  /// successful read. Used where an end of stream right behind the data changes what the data means.
  virtual std::size_t readAheadLimit() const { return 0; }
  /// The last unsent byte has been written. Also called by each Connection::send() that writes all at once.
  virtual void onAllWritten() {}
  /// Called just before unsent bytes are written again; may replace them with Connection::replaceUnsent().
  virtual void beforeWritingUnsent() {}
  /// Returns false if the unsent bytes must not be written any more. The connection is then closed as after a
  /// failed write.
  virtual bool mayWrite() const { return true; }
  /// The time until which the present wait may last; TimePoint::max() for a wait without an end. Asked
  /// whenever the wait timer is set or fires, so it must follow from the connection's state.
  virtual TimePoint waitDeadline() const = 0;
  /// waitDeadline() has passed.
  virtual void onTimeout() = 0;

 protected:
  ConnectionCallbacks() = default;
  ConnectionCallbacks(const ConnectionCallbacks&) = default;
  ConnectionCallbacks& operator=(const ConnectionCallbacks&) = default;
  ~ConnectionCallbacks() = default;
};

}  // namespace merlinbridge::net
