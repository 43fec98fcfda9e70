#pragma once

#include <cstddef>
#include <vector>

#include "gateway_core/gateway_core.hpp"
#include "net/client/client_acceptor.hpp"
#include "net/client/client_connection.hpp"
#include "net/client/client_eviction.hpp"
#include "net/event_loop.hpp"

namespace merlinbridge::net {

/// The clients' side of the gateway: holds the list of their connections and its bound, which is their share
/// of the descriptors, and knows whether the gateway is ready or draining. All functions run on the event
/// loop's strand, which is stopped before the listener is destroyed.
class ClientListener final : private ClientConnectionOwner, private ClientAcceptorOwner {
 public:
  /// Binds and listens at once; accepts from serve() on. Throws boost::system::system_error.
  ClientListener(EventLoop&, const SocketAddress&, std::size_t maxConnections, const ClientTimeouts&);

  /// Accepts clients from now on, and is ready. The core outlives the listener's connections.
  void serve(core::GatewayCore& core);
  /// Graceful shutdown: the gateway is not ready any more. Each answer is its connection's last, unless the
  /// next request is there already; from `keepAliveEndsAt` on, each answer is the last.
  void drain(TimePoint keepAliveEndsAt);
  /// Begins a lingering close of the connections that have been idle for at least `idleFor`.
  void closeIdle(Duration idleFor);
  /// See ClientAcceptor::stop().
  bool stopAccepting() { return acceptor_.stop(); }
  /// See ClientAcceptor::recoverMissedReadiness().
  void recoverMissedReadiness() { acceptor_.recoverMissedReadiness(); }
  /// Reads and drops what is unread on all connections, so that the exit of the process resets none.
  void discardUnread();
  bool allClosed() const { return connections_.empty(); }
  /// Whether no client is in the middle of a request or of an answer.
  bool allIdle();

 private:
  enum class Phase { starting, ready, draining };

  core::GatewayCore& core() override { return *core_; }
  bool isReady() const override { return phase_ == Phase::ready; }
  bool isDraining() const override { return phase_ == Phase::draining; }
  TimePoint keepAliveEndsAt() const override { return keepAliveEndsAt_; }
  std::size_t bufferedBytes() override;
  void connectionIdle() override;
  void connectionClosed(SlotRef) override;
  bool isFull() const override { return connections_.size() >= maxConnections_; }
  void evictConnections() override;
  void backlogEmpty() override { eviction_.reset(); }
  void clientAccepted(Socket) override;

  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  const std::size_t maxConnections_;
  const ClientTimeouts timeouts_;
  ClientAcceptor acceptor_;
  ClientEviction eviction_;
  Phase phase_ = Phase::starting;
  TimePoint keepAliveEndsAt_ = TimePoint::max();
  std::vector<SlotRef> connections_;
};

}  // namespace merlinbridge::net
