#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/coroutine.hpp>

#include "net/event_loop.hpp"
#include "net/system_calls.hpp"

namespace merlinbridge::net {

/// What a ClientAcceptor asks of its listener, and reports to it. All functions run on the event loop's
/// strand. The implementation outlives the acceptor.
class ClientAcceptorOwner {
 public:
  virtual ~ClientAcceptorOwner() = default;
  /// Whether there is no free slot for another connection.
  virtual bool isFull() const = 0;
  /// A client waits while isFull(): some connection should close. The acceptor pauses until it is resumed.
  virtual void evictConnections() = 0;
  /// No client waits to be accepted.
  virtual void backlogEmpty() = 0;
  /// Takes over an accepted connection.
  virtual void clientAccepted(Socket) = 0;
};

/// Accepts clients: binds and listens, pauses while there is no free slot or this machine lacks something,
/// and finds readiness that the system has not passed on.
class ClientAcceptor {
 public:
  /// Binds and listens at once; throws boost::system::system_error. `backlog`: connections that the system
  /// accepts ahead.
  ClientAcceptor(EventLoop&, const SocketAddress&, int backlog, ClientAcceptorOwner&);

  /// Starts accepting. Must be called once.
  void start() { acceptStep({}); }
  /// Whether accepting waits for resume() or for the end of a backoff.
  bool isPaused() const { return state_ == State::paused; }
  /// Goes on accepting if it is paused.
  void resume();
  /// The same in a turn of its own, for callers inside of a connection's handler.
  void resumeLater();
  /// Accepts what the system has accepted already, then stops for good. Returns true if there was nothing and
  /// the listening socket is closed; false if there was something, or whether there was could not be seen.
  bool stop();
  /// Makes up for a lost notification: goes on if clients have been waiting unnoticed since the call before.
  void recoverMissedReadiness();

 private:
  enum class State {
    accepting,  ///< On the stack, or not started, or stopped.
    waiting,    ///< For readiness of the listening socket.
    paused      ///< For resume().
  };

  /// Coroutine; runs on the strand. The event loop is stopped before the acceptor is destroyed.
  void acceptStep(Error error);
  void waitForClients();
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
  int consecutiveBroken_ = 0;      ///< Connections that broke while they were accepted.
  int consecutiveBackoffs_ = 0;    ///< Each doubles the pause.
  bool readyAtLastCheck_ = false;  ///< While waiting: the socket was ready at the last check.
  Descriptor accepted_;            ///< Accepted, but not registered with the event loop yet.
};

}  // namespace merlinbridge::net
