#pragma once

#include <cstddef>

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// What a buffer's larger block is for.
enum class BufferUse {
  receiving,  ///< To read more.
  sending     ///< For bytes that the socket does not accept now.
};

/// The callbacks that each kind of connection (client, upstream, counter, discovery) implements: handlers for
/// socket events, and queries that control reading, writing and timeouts. Connection calls them.
///
/// All callbacks run on the event loop's strand and never concurrently. A callback may close its own
/// connection with EventLoop::closeDeferred(): the object lives until the end of the turn, so its callers on
/// the stack can still return into it. Callbacks must not throw.
class ConnectionCallbacks {
 public:
  /// Connection::connect() has succeeded. Called once, before the first onData(), and never from within
  /// connect(). Not called for an accepted connection.
  virtual void onConnected() {}
  /// At least one received byte has been added to the buffer; see Connection::received(). The callback
  /// consumes the bytes it has processed. Called again in the same turn while expectsMore() is true.
  virtual void onData() = 0;
  /// The connection is no longer usable: the dial failed, the peer ended or reset the stream, or a system
  /// call failed permanently. Connection::halfClosedByPeer() and Connection::lastError() tell which. The
  /// callback must close the connection; nothing is read afterwards.
  virtual void onClosed() = 0;
  /// Returns true while the buffer holds as much as this connection allows. Reading then pauses until
  /// Connection::resumeReading() is called.
  virtual bool readBufferFull() const { return false; }
  /// Asked before the buffer gets a block of that many bytes, more than BufferBudget::kGuaranteedBytes; its
  /// present block is freed only afterwards. Returns false if the memory is needed for something else.
  virtual bool mayGrowBuffer(std::size_t /*bytes*/, BufferUse) { return true; }
  /// mayGrowBuffer() has refused a read that the present message needs. The callback ends the message or the
  /// connection, or makes readBufferFull() true.
  virtual void onBufferRefused() { onClosed(); }
  /// Returns true while a message has begun but is incomplete. The reader then continues in the same turn,
  /// since the system reports the readiness only once and not again for the rest of the message.
  virtual bool expectsMore() const { return false; }
  /// The reader calls onData() once the buffer holds this many bytes or nothing more can be read; 0 calls it
  /// after the first successful read. Used where an end of stream right after the data changes its meaning.
  virtual std::size_t readAheadLimit() const { return 0; }
  /// The last unsent byte has been written. Also called by each Connection::send() that writes everything
  /// immediately.
  virtual void onAllWritten() {}
  /// Called just before unsent bytes are written again; may replace them with Connection::replaceUnsent().
  virtual void beforeWritingUnsent() {}
  /// Returns false if the unsent bytes must no longer be written. The connection is then closed as if the
  /// write had failed.
  virtual bool mayWrite() const { return true; }
  /// When the current wait times out; TimePoint::max() for no timeout. Queried whenever the wait timer is set
  /// or fires, so the result must depend on the connection's state alone.
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
