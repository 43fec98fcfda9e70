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
  connecting,        ///< Created; connect() dials, or start() has not been called yet.
  open,              ///< Both directions are usable.
  halfClosedByPeer,  ///< The peer has ended its stream in good order; the gateway's direction is still
                     ///< usable.
  closed             ///< close() has been called; final.
};

/// The step of a connection that goes on when a wait ends; see Connection::runStep().
enum class ConnectionStep { dial, read, write };

/// Returns true if a wait for readiness ended with an error. A cancelled wait is no error: it is one whose
/// readiness was missed (StreamSocket::endMissedWait()), and the step goes on as if it were ready.
inline bool waitFailed(const Error& error) {
  return error && error != asio::error::operation_aborted;
}

/// The socket of one connection with what dialling, reading and writing share: the connection's state, the
/// waits after which a step goes on, the backoff after shortages of this machine, and the record of failures.
/// Owned by its Connection and used on the strand only. A wait holds the connection's slot reference, not a
/// pointer: when the connection is gone by then, the wait ends without effect.
class StreamSocket {
 public:
  explicit StreamSocket(EventLoop& loop) : loop_(loop), socket_(loop.strand) {}
  StreamSocket(EventLoop& loop, Socket accepted) : loop_(loop), socket_(std::move(accepted)) {}

  /// The connection's slot in the event loop; empty during construction.
  SlotRef ref() const { return ref_; }
  void assignSlot(SlotRef ref) { ref_ = ref; }
  EventLoop& loop() const { return loop_; }
  int descriptor() const { return socket_.native_handle(); }

  /// Transitions; see ConnectionState.
  void becomeOpen();
  void recordEndOfStream();
  void close();
  ConnectionState state() const { return state_; }
  /// Returns true if bytes can be written: open, or ended by the peer alone.
  bool isUp() const { return state_ == ConnectionState::open || state_ == ConnectionState::halfClosedByPeer; }

  /// Opens a new socket for a dial to `peer` and closes the one before, if any. `done`, or `shortage` with
  /// the errno.
  CallResult openFor(const SocketAddress& peer);
  /// Sets TCP_NODELAY unless it is set. Without it, small writes may wait in the system and are lost with a
  /// reset.
  void ensureNoDelay() {
    if (!delayDisabled_) disableDelay();
  }
  void shutdownSend();

  /// Runs `step` once the socket is ready. At most one wait for each kind of readiness is open.
  void waitFor(Socket::wait_type readiness, ConnectionStep step);
  /// Runs `step` in a turn of its own.
  void postStep(ConnectionStep step);
  /// Runs `step` after the pause that follows a shortage of this machine; see ShortageBackoff.
  void retryLater(ConnectionStep step);

  /// The descriptor and the events that are waited for, as poll() takes them; `events` is 0 without a wait.
  pollfd awaitedReadiness() const { return {descriptor(), readiness_.awaitedEvents(), 0}; }
  ReadinessWatchdog& readiness() { return readiness_; }
  /// Cancels the waits if the watchdog finds that their readiness was missed; their steps then run as if the
  /// system had reported it.
  void endMissedWait();

  /// Records how a call ended: success resets the backoff, a shortage is counted in the fault log, a broken
  /// connection sets lastError() and is counted if the cause is this machine.
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
