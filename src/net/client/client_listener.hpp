#pragma once

#include <cstddef>
#include <vector>

#include "gateway_core/gateway_core.hpp"
#include "net/client/client_acceptor.hpp"
#include "net/client/client_connection.hpp"
#include "net/client/client_eviction.hpp"
#include "net/client/refusal_log.hpp"
#include "net/client/waiting_clients.hpp"
#include "net/event_loop.hpp"

namespace merlinbridge::net {

/// The client side of the gateway: keeps the list of client connections within its limit (the clients' share
/// of the descriptors) and tracks whether the gateway is ready or draining. All functions run on the event
/// loop's strand. The event loop must be stopped before the listener is destroyed.
class ClientListener final : private ClientConnectionOwner, private ClientAcceptorOwner {
 public:
  /// Binds and listens immediately; serve() starts accepting. Throws boost::system::system_error on failure.
  ClientListener(EventLoop&, const SocketAddress&, std::size_t maxConnections, const ClientTimeouts&);

  /// Starts accepting clients and reports ready. The core outlives the listener's connections.
  void serve(core::GatewayCore& core);
  /// Starts the graceful shutdown: reports not ready, and closes each connection after its current response
  /// unless another request has already arrived on it; from `keepAliveEndsAt` on, even then.
  void drain(TimePoint keepAliveEndsAt);
  /// Starts a lingering close of the connections that have been idle for at least `idleFor`.
  void closeIdle(Duration idleFor);
  /// Refuses the requests that have been partly received: the process is about to exit.
  void refuseIncompleteRequests();
  /// See ClientAcceptor::stop().
  bool stopAccepting() { return acceptor_.stop(); }
  /// See ClientAcceptor::recoverMissedReadiness().
  void recoverMissedReadiness() { acceptor_.recoverMissedReadiness(); }
  /// Discards unread data on all connections, so that process exit does not reset them.
  void discardUnread();
  /// Logs what has been counted of ended connections and is not logged yet.
  void logRest() { ends_.logRest(); }
  std::size_t connectionCount() const { return connections_.size(); }
  bool allClosed() const { return connections_.empty(); }
  /// Returns true if every client connection is idle or lingering.
  bool allIdle();

 private:
  enum class Phase { starting, ready, draining };

  core::GatewayCore& core() override { return *core_; }
  bool isReady() const override { return phase_ == Phase::ready; }
  bool isDraining() const override { return phase_ == Phase::draining; }
  TimePoint keepAliveEndsAt() const override { return keepAliveEndsAt_; }
  void logExhaustion(std::size_t waitingClients);
  void reclaimBuffers(std::size_t bytes, SlotRef requester);
  void requestRefused(std::string_view reason, std::string_view requestId) override {
    refusals_.record(loop_.now(), reason, requestId);
  }
  void deadlineStated(Duration deadline) override { waiting_.deadlineStated(deadline); }
  void connectionIdle() override;
  void connectionClosed(SlotRef, ConnectionEndReason, const ConnectionCounts&) override;
  bool isFull() const override { return connections_.size() >= maxConnections_; }
  void evictConnections() override;
  void backlogEmpty() override;
  void logOverdueClients();
  void clientAccepted(Socket) override;

  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  const std::size_t maxConnections_;
  const ClientTimeouts timeouts_;
  ClientAcceptor acceptor_;
  WaitingClients waiting_;
  ClientEviction eviction_;
  RefusalLog refusals_;
  ConnectionEndLog ends_;
  TimePoint exhaustionLoggedAt_{};  ///< TimePoint{}: never.
  TimePoint overdueLoggedAt_{};     ///< TimePoint{}: never.
  core::DeadlineQueue::Handle evictionRetry_{};
  Phase phase_ = Phase::starting;
  TimePoint keepAliveEndsAt_ = TimePoint::max();
  std::vector<SlotRef> connections_;
};

}  // namespace merlinbridge::net
