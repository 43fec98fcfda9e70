#pragma once

#include <initializer_list>
#include <string_view>

#include "net/buffer.hpp"
#include "net/connection_callbacks.hpp"
#include "net/event_loop.hpp"
#include "net/stream_dialer.hpp"
#include "net/stream_reader.hpp"
#include "net/stream_socket.hpp"
#include "net/stream_writer.hpp"
#include "net/wait_timer.hpp"

namespace merlinbridge::net {

/// A TCP connection; base class of the client, upstream, counter and discovery connections. It combines
/// StreamSocket (socket, state, failures), StreamDialer, StreamReader, StreamWriter and WaitTimer.
///
/// A single buffer holds the received bytes followed by the unsent ones. Nothing is read while bytes are
/// unsent, so the two never interleave.
///
/// EventLoop::open() creates and owns connections. All members are called on the event loop's strand. After
/// EventLoop::closeDeferred(), the object lives until the end of the turn; pending waits and timers hold its
/// slot reference and find nothing afterwards. ConnectionCallbacks lists what a derived class implements.
class Connection : protected ConnectionCallbacks {
 public:
  /// An outgoing connection; connect() establishes it.
  explicit Connection(EventLoop& loop);
  /// An accepted connection; start() begins reading from it.
  Connection(EventLoop& loop, Socket accepted);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  virtual ~Connection() = default;

  /// This connection's slot in the event loop; empty during construction.
  SlotRef ref() const { return socket_.ref(); }
  /// Returns true from when the connection is established until close().
  bool isUp() const { return socket_.isUp(); }
  /// Returns true if received bytes are waiting in the socket, not yet in the buffer. Also true if the check
  /// fails for lack of local resources: closing the connection then could drop a request.
  bool hasUnreadBytes() const;
  /// Returns true if the peer has closed or reset the connection, even if not all its data has been read.
  bool peerHungUp() const;
  /// Returns true if the connection is up and the socket holds neither unread bytes nor an end of stream.
  bool hasNothingToRead() const;
  /// When the newest bytes from the peer arrived at this machine; see Clock::newestArrivalAt().
  TimePoint newestArrivalAt() const { return loop_.newestArrivalAt(socket_.descriptor()); }
  /// Returns true if the connection is up and the peer's system has acknowledged all that was sent.
  bool isAllAcknowledged() const { return isUp() && net::isAllAcknowledged(socket_.descriptor()); }
  /// Connects to `peer`, until waitDeadline() at the latest. A local resource shortage does not end the dial:
  /// it is retried after a pause. Must be called only once; onConnected() or onClosed() follows in a later
  /// turn.
  void connect(const SocketAddress& peer);
  /// Returns true if the connection is not up and the last dial failed for a local resource shortage.
  bool failedLocally() const { return !isUp() && dialer_.failedLocally(); }
  /// Begins reading from an accepted connection. Must be called only once.
  void start();
  /// Closes the socket and cancels the wait timer. Called by EventLoop::closeDeferred() only.
  void close();
  /// Reads and discards unread bytes, up to a limit, so that a subsequent close does not reset the
  /// connection.
  void discard();
  /// Writes the unsent bytes unless a write is already waiting for the socket. The event loop calls it at the
  /// end of a turn in which sendLater() was called.
  void flush();

  /// Called once by EventLoop::open(), right after construction.
  void assignSlot(SlotRef ref) { socket_.assignSlot(ref); }
  /// Resumes a step whose wait has ended. Called only by StreamSocket's completion handlers.
  void runStep(ConnectionStep step, const Error& error);
  /// For the event loop's check for missed readiness and for StreamSocket's completion handlers.
  StreamSocket& socket() { return socket_; }

 protected:
  /// Writes `parts` (at most four) in order: immediately if the connection is up and nothing is unsent, and
  /// what is left over once the socket is writable. May call onAllWritten() or onClosed() before it returns.
  void send(std::initializer_list<std::string_view> parts);
  /// Appends to the unsent bytes, which are written together at the end of this turn.
  void sendLater(std::string_view part);
  /// Shuts down the sending direction; the peer reads an end of stream.
  void shutdownSend() { socket_.shutdownSend(); }
  /// The number of received bytes at the front of the buffer.
  std::size_t received() const { return buffer_.size() - writer_.unsentBytes(); }
  bool allWritten() const { return writer_.allWritten(); }
  std::size_t unsentBytes() const { return writer_.unsentBytes(); }
  /// The unsent bytes; valid until the buffer changes.
  std::string_view unsent() const { return writer_.unsent(); }
  /// Replaces all unsent bytes. `text` must not point into the buffer.
  void replaceUnsent(std::string_view text) { writer_.replaceUnsent(text); }
  /// Returns true if the peer has ended its stream with a FIN and the connection is not closed yet.
  bool halfClosedByPeer() const { return socket_.state() == ConnectionState::halfClosedByPeer; }
  /// The errno that broke the connection; 0 if none did.
  int lastError() const { return socket_.lastError(); }
  /// Resumes paused reading. Must be called wherever readBufferFull() may have become false.
  void resumeReading() { reader_.resume(); }
  /// Reads what has arrived, up to readAheadLimit(), without calling onData(). Returns false if the stream
  /// has ended or is broken: the caller must close the connection.
  bool readAhead() { return reader_.readAhead(); }
  /// Sets the wait timer. Must be called wherever waitDeadline() may have become earlier.
  void updateWaitTimer();

  EventLoop& loop_;
  Buffer buffer_;

 private:
  CallStatus peekStatus() const;
  void continueDial(const Error& error);
  void handle(WriteEvent event);
  void waitTimerFired(TimePoint now);

  StreamSocket socket_;
  StreamDialer dialer_;
  StreamWriter writer_;
  StreamReader reader_;
  WaitTimer waitTimer_;
};

}  // namespace merlinbridge::net
