#pragma once

#include <boost/asio/basic_socket_acceptor.hpp>
#include <boost/asio/coroutine.hpp>
#include <vector>

#include "gateway_core/gateway_core.hpp"
#include "net/event_loop.hpp"
#include "net/system_calls.hpp"

namespace merlinbridge::net {

class ClientConnection;

/// Accepts clients and owns the limit on their connections: their share of the descriptors.
class ClientListener {
 public:
  /// Binds and listens at once; accepts from serve() on. `idleTimeout`: a connection between two requests is
  /// closed after so long. `maxDeadline`: the longest that a request waits for its answer.
  ClientListener(EventLoop&, const SocketAddress& address, std::size_t maxConnections, Duration idleTimeout,
                 Duration maxDeadline);

  void serve(core::GatewayCore& core);
  /// What `/health/ready` answers.
  void setReady(bool ready) { ready_ = ready; }
  /// Not ready any more. Every answer is its connection's last, unless more has come on it already; from that
  /// time on, each is.
  void drain(TimePoint lastAnswerBy);
  /// Closes, in good order, the connections that have been idle for so long.
  void closeIdle(Duration idleFor = Duration{0});
  /// Takes the connections that the system has accepted already. True: there were none, and nobody is
  /// accepted any more. False, too, where it could not be seen whether there were any.
  bool stopAccepting();
  /// Asks again where clients have been waiting since the call before, unnoticed.
  void recoverMissedReadiness();
  /// Reads what is unread, for nobody, so that the exit resets no connection.
  void discardUnread();
  bool allClosed() const { return connections_.empty(); }
  /// No client is in the middle of a request or of an answer.
  bool quiet();

  /// What a connection asks of the listener, and tells it.
  core::GatewayCore& core() { return *core_; }
  bool ready() const { return ready_; }
  bool draining() const { return draining_; }
  TimePoint lastAnswerBy() const { return lastAnswerBy_; }
  Duration idleTimeout() const { return idleTimeout_; }
  Duration maxDeadline() const { return maxDeadline_; }
  /// In the buffers of all clients.
  std::size_t bufferedBytes();
  void connectionIdle();
  void connectionClosed(SlotRef);

 private:
  void acceptStep(Error error);
  void waitForClients();
  CallStatus acceptOne();
  void pauseAccepting();
  void resumeAccepting();
  void resumeAcceptingLater();
  void add(Socket);
  void evict();
  std::size_t evictIdle(std::size_t wanted);
  std::size_t evictIncomplete(std::size_t wanted);
  std::size_t closing();
  bool full() const { return connections_.size() >= maxConnections_; }

  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  const SocketAddress address_;
  asio::basic_socket_acceptor<asio::ip::tcp, Strand> acceptor_;
  asio::coroutine accepting_;
  CallStatus acceptStatus_{};    ///< Of the last accept.
  int brokenInRow_ = 0;          ///< Connections that broke while they were accepted.
  int pausesInRow_ = 0;          ///< Each doubles the pause.
  bool waiting_ = false;         ///< For readiness of the listening socket.
  bool readyUnnoticed_ = false;  ///< It was ready at the last check, and the wait has not ended since.
  Descriptor accepted_;          ///< Accepted, but not registered with the event loop yet.
  bool paused_ = false, ready_ = false, draining_ = false;
  const std::size_t maxConnections_;
  std::size_t evictionsWanted_ = 1;
  const Duration idleTimeout_, maxDeadline_;
  TimePoint lastAnswerBy_ = TimePoint::max();
  std::vector<SlotRef> connections_;
};

}  // namespace merlinbridge::net
