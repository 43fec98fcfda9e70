#pragma once

#include <poll.h>

#include "net/event_loop.hpp"
#include "net/readiness_watchdog.hpp"
#include "net/shortage_backoff.hpp"
#include "net/system_calls.hpp"

namespace merlinbridge::net {

/// The states of a connection. All transitions are in StreamSocket:
///
///     connecting --becomeOpen()--> open --recordEndOfStream()--> halfClosedByPeer
///     any state  --close()--> closed
enum class ConnectionState {
  connecting,        ///< Initial state, until connect() succeeds or start() is called.
  open,              ///< Both directions are usable.
  halfClosedByPeer,  ///< The peer has sent a FIN; the gateway can still send.
  closed             ///< close() has been called; final.
};

/// The operation that continues when a wait ends; see Connection::runStep().
enum class ConnectionStep { dial, read, write };

/// Returns true if a wait for readiness failed. Cancellation does not count as a failure: it means that the
/// readiness was missed (StreamSocket::endMissedWait()), and the step continues as if it had been reported.
inline bool waitFailed(const Error& error) {
  return error && error != asio::error::operation_aborted;
}

/// The socket of one connection, with everything that dialling, reading and writing share: the connection's
/// state, the waits between steps, the backoff after local resource shortages, and failure reporting. Owned
/// by its Connection and used on the strand only. A wait holds the connection's slot reference, not a
/// pointer: if the connection is gone when the wait ends, nothing happens.
class StreamSocket {
 public:
  explicit StreamSocket(EventLoop& loop) : loop_(loop), socket_(loop.strand) {}
  StreamSocket(EventLoop& loop, Socket accepted) : loop_(loop), socket_(std::move(accepted)) {}

  /// The connection's slot in the event loop; empty during construction.
  SlotRef ref() const { return ref_; }
  void assignSlot(SlotRef ref) { ref_ = ref; }
  EventLoop& loop() const { return loop_; }
  int descriptor() const { return socket_.native_handle(); }

  /// State transitions; see ConnectionState.
  void becomeOpen();
  void recordEndOfStream();
  void close();
  ConnectionState state() const { return state_; }
  /// Returns true if bytes can be written: the connection is open or half-closed by the peer.
  bool isUp() const { return state_ == ConnectionState::open || state_ == ConnectionState::halfClosedByPeer; }

  /// Opens a new socket for a dial to `peer`, closing the previous one if any. Returns `done`, or `shortage`
  /// with the errno.
  CallResult openFor(const SocketAddress& peer);
  /// Sets TCP_NODELAY if it is not set yet. Without it, the system may hold back small writes, and a reset
  /// would discard them.
  void ensureNoDelay() {
    if (!delayDisabled_) disableDelay();
  }
  void shutdownSend();

  /// Runs `step` when the socket becomes ready. At most one wait per kind of readiness may be open.
  void waitFor(Socket::wait_type readiness, ConnectionStep step);
  /// Runs `step` in a separate turn.
  void postStep(ConnectionStep step);
  /// Runs `step` after the backoff pause for a local resource shortage; see ShortageBackoff.
  void retryLater(ConnectionStep step);

  /// The descriptor and its awaited events, in the form that poll() takes; `events` is 0 if no wait is open.
  pollfd awaitedReadiness() const { return {descriptor(), readiness_.awaitedEvents(), 0}; }
  ReadinessWatchdog& readiness() { return readiness_; }
  /// Cancels the open waits if the watchdog finds that readiness was missed; their steps then run as if the
  /// system had reported it.
  void endMissedWait(bool allHandled);

  /// Records the result of a call: success resets the backoff; a shortage is counted in the fault log; a
  /// broken connection sets lastError() and is counted in the fault log if the cause is local.
  void recordResult(SystemCall call, const CallResult& result);
  void recordFailedWait(const Error& error);
  /// The errno that broke the connection; 0 if none did.
  int lastError() const { return lastError_; }

 private:
  void enter(ConnectionState next);
  void disableDelay();

  EventLoop& loop_;
  mutable Socket socket_;  ///< Asio's native_handle() is not const.
  SlotRef ref_;
  ConnectionState state_ = ConnectionState::connecting;
  bool delayDisabled_ = false;  ///< TCP_NODELAY is set.
  ReadinessWatchdog readiness_;
  ShortageBackoff backoff_;
  int lastError_ = 0;
};

}  // namespace merlinbridge::net
