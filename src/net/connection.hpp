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

/// One TCP connection, and the base of the client, upstream, counter and discovery connections. It joins the
/// parts: StreamSocket (socket, state, failures), StreamDialer, StreamReader, StreamWriter and WaitTimer.
///
/// The one buffer holds the received bytes and, behind them, the unsent ones. Nothing is read while bytes are
/// unsent, so the two never mix.
///
/// EventLoop::open() creates connections and owns them. All members are called on the event loop's one
/// strand. A connection that EventLoop::closeDeferred() has closed lives on until the turn ends; waits and
/// timers hold its slot reference and find nothing afterwards. See ConnectionCallbacks for what a derived
/// class implements.
class Connection : protected ConnectionCallbacks {
 public:
  /// A connection that connect() dials.
  explicit Connection(EventLoop& loop);
  /// An accepted connection; start() begins to read from it.
  Connection(EventLoop& loop, Socket accepted);
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  virtual ~Connection() = default;

  /// The slot in the event loop by which this connection is found; empty during construction.
  SlotRef ref() const { return socket_.ref(); }
  /// Returns true from the time the connection is established until close().
  bool isUp() const { return socket_.isUp(); }
  /// Returns true if bytes have come that are not in the buffer yet. If the system cannot say for lack of
  /// resources, unread bytes are assumed: closing now could drop a request.
  bool hasUnreadBytes() const;
  /// Returns true if the peer has ended its stream or reset it, even if not all it sent has been read.
  bool peerHungUp() const;
  /// Returns true if the connection is up and neither bytes nor the peer's end wait to be read.
  bool hasNothingToRead() const;
  /// Dials until the connection is up or waitDeadline() passes. A shortage of this machine does not end the
  /// dial; it is repeated after a pause. Called once; onConnected() or onClosed() come in a later turn.
  void connect(const SocketAddress& peer);
  /// Returns true if the connection is not up and the last dial failed for a shortage of this machine.
  bool failedLocally() const { return !isUp() && dialer_.failedLocally(); }
  /// Begins to read from an accepted connection. Called once.
  void start();
  /// Closes the socket and cancels the wait timer. Called by EventLoop::closeDeferred() only.
  void close();
  /// Reads and drops what has come, within a bound, so that the close that follows resets nothing.
  void discard();
  /// Writes the unsent bytes if no wait for the socket is open. The event loop calls it at the end of a turn
  /// in which sendLater() was called.
  void flush();

  /// Called by EventLoop::open() once, right after construction.
  void assignSlot(SlotRef ref) { socket_.assignSlot(ref); }
  /// Goes on with a step whose wait has ended. Called by the completions of StreamSocket only.
  void runStep(ConnectionStep step, const Error& error);
  /// For the event loop's check for missed readiness, and the completions of StreamSocket.
  StreamSocket& socket() { return socket_; }

 protected:
  /// Writes `parts` (four at the most) in order, at once if the connection is up and nothing is unsent; the
  /// rest is written when the socket takes it. May call onAllWritten() or onClosed() before it returns.
  void send(std::initializer_list<std::string_view> parts);
  /// Appends to the unsent bytes, which are written together at the end of this turn.
  void sendLater(std::string_view part);
  /// Ends the gateway's direction of the stream; the peer reads an end of stream.
  void shutdownSend() { socket_.shutdownSend(); }
  /// The number of received bytes, which are at the front of the buffer.
  std::size_t received() const { return buffer_.size() - writer_.unsentBytes(); }
  bool allWritten() const { return writer_.allWritten(); }
  std::size_t unsentBytes() const { return writer_.unsentBytes(); }
  /// The unsent bytes; valid until the buffer changes.
  std::string_view unsent() const { return writer_.unsent(); }
  /// Replaces all unsent bytes. `text` must not point into the buffer.
  void replaceUnsent(std::string_view text) { writer_.replaceUnsent(text); }
  /// Returns true if the peer has ended its stream in good order and the connection is not closed yet.
  bool halfClosedByPeer() const { return socket_.state() == ConnectionState::halfClosedByPeer; }
  /// The errno that broke the connection; 0 if none did.
  int lastError() const { return socket_.lastError(); }
  /// Reads on if reading has paused; to be called where readBufferFull() may have become false.
  void resumeReading() { reader_.resume(); }
  /// Sets the wait timer; to be called where a wait begins that may end earlier than the one before.
  void updateWaitTimer();

  EventLoop& loop_;
  Buffer buffer_;

 private:
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
