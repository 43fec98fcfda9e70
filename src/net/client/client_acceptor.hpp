#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/coroutine.hpp>

#include "net/event_loop.hpp"
#include "net/readiness_watchdog.hpp"
#include "net/system_calls.hpp"

namespace merlinbridge::net {

/// Interface of a ClientAcceptor to its listener. All functions run on the event loop's strand. The
/// implementation outlives the acceptor.
class ClientAcceptorOwner {
 public:
  virtual ~ClientAcceptorOwner() = default;
  /// Returns true if the maximum number of connections is reached.
  virtual bool isFull() const = 0;
  /// Closes connections, since a client is waiting while isFull(). The acceptor pauses until resume().
  virtual void evictConnections() = 0;
  /// No client is waiting to be accepted, or none was until just now.
  virtual void backlogEmpty() = 0;
  /// Takes ownership of an accepted connection.
  virtual void clientAccepted(Socket) = 0;
};

/// Accepts client connections: binds and listens, pauses while the connection limit is reached or a local
/// resource is short, and detects readiness that the system has not reported.
class ClientAcceptor {
 public:
  /// Binds and listens immediately; throws boost::system::system_error on failure. `backlog`: the maximum
  /// number of connections that the system queues for accepting.
  ClientAcceptor(EventLoop&, const SocketAddress&, int backlog, ClientAcceptorOwner&);

  /// Starts accepting. Must be called only once.
  void start() { acceptStep({}); }
  /// Returns true if accepting is paused until resume() or the end of a backoff.
  bool isPaused() const { return state_ == State::paused; }
  /// Resumes accepting if it is paused.
  void resume();
  /// As resume(), but in a separate turn, for callers within a connection's callback.
  void resumeLater();
  /// Accepts the connections in the backlog. If there were none, closes the listening socket and returns
  /// true. Returns false if there were some, or if the backlog could not be checked.
  bool stop();
  /// Resumes accepting if clients are waiting although the system has reported no readiness.
  void recoverMissedReadiness();

 private:
  enum class State {
    accepting,  ///< Running, not started, or stopped.
    waiting,    ///< Waiting for the listening socket to become ready.
    paused      ///< Until resume().
  };

  /// Coroutine; runs on the strand. The event loop must be stopped before the acceptor is destroyed.
  void acceptStep(Error error);
  void waitForClients();
  bool isBacklogEmpty();
  void continueLater();
  CallStatus acceptOne();
  CallStatus registerAccepted();
  void backOff();
  void recordFailure(const CallResult& result);

  EventLoop& loop_;
  ClientAcceptorOwner& owner_;
  const asio::ip::tcp protocol_;
  asio::basic_socket_acceptor<asio::ip::tcp, Strand> acceptor_;
  asio::coroutine accepting_;
  State state_ = State::accepting;
  CallStatus lastAccept_{};
  bool backlogWasEmpty_ = false;  ///< At the start of the last wait while the owner was full.
  int acceptedInTurn_ = 0;
  int consecutiveBroken_ = 0;    ///< Connections that broke while being accepted.
  int consecutiveBackoffs_ = 0;  ///< Each one doubles the pause.
  ReadinessWatchdog readiness_;  ///< For the wait for clients.
  Descriptor accepted_;          ///< Accepted but not yet registered with the event loop.
};

}  // namespace merlinbridge::net
