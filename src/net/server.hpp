#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>

#include "gateway_core/engine_log_event.hpp"
#include "gateway_core/gateway_core.hpp"
#include "net/client/client_listener.hpp"
#include "net/counter/counter_client.hpp"
#include "net/discovery/discovery_client.hpp"
#include "net/upstream/upstream_pool.hpp"

namespace merlinbridge::net {

/// The gateway's sockets around its core: the core's Transport to clients, hosts and the counter service. It
/// owns the core, and the part for each kind of peer. All functions run on the event loop's strand; the loop
/// outlives the server, and is stopped before the server is destroyed.
class Server final : private core::Transport {
 public:
  /// Binds and listens; nothing is accepted before serve(). Throws std::invalid_argument for an address that
  /// cannot be parsed, and boost::system::system_error where the gateway cannot listen.
  Server(EventLoop&, const config::GatewayConfig&);

  /// Accepts clients, and watches discovery, from now on.
  void serve();
  /// Sets the addresses of discovery and the counter service; an empty `counter`: there is none. Throws
  /// std::invalid_argument, and then nothing has changed.
  void setAddresses(const std::string& discovery, const std::string& counter);
  /// Begins a graceful shutdown: the gateway is not ready, and answers all requests by `answerBy`.
  void startDraining(TimePoint answerBy);
  /// Closes the clients' connections that have been idle for at least `idleFor`.
  void closeIdle(Duration idleFor = Duration{0}) { clients_.closeIdle(idleFor); }
  /// Stops accepting if no client waits; see ClientAcceptor::stop().
  bool stopAccepting() { return clients_.stopAccepting(); }
  /// Looks whether clients wait unnoticed; the event loop does the same for its connections.
  void recoverMissedReadiness() { clients_.recoverMissedReadiness(); }
  /// Drops unread data of all clients, so that the exit of the process resets no connection.
  void discardUnread() { clients_.discardUnread(); }
  /// Requests that the core has not answered yet.
  std::size_t unanswered() const { return core_.unansweredCount(); }
  /// Whether no request is unanswered, and no client is in the middle of a request or of an answer.
  bool allAnswered() { return unanswered() == 0 && clients_.allIdle(); }
  /// Whether the connections of all clients have closed.
  bool allClosed() { return clients_.allClosed(); }

 private:
  void sendResponse(SlotRef client, std::string_view body, std::string_view type) override;
  void sendRejection(SlotRef client, Duration retryAfter) override;
  void sendFailure(SlotRef client) override;
  std::variant<SlotRef, Outcome> startAttempt(RequestId, AttemptNumber, SlotRef client, HostId,
                                              AttemptDeadline) override;
  bool closeAttempt(SlotRef client, AttemptNumber, SlotRef connection) override;
  bool isUnsent(SlotRef connection) override { return hosts_.isUnsent(connection); }
  bool clientConnected(SlotRef client) override;
  void addToCounter(const CounterKey& key, double units, Duration keepFor) override;
  void hostUnavailable(HostId host) override { hosts_.closeIdle(host); }
  void report(EngineEvent event) override { loop_.log(core::logEventOf(event)); }
  void endpointTableFull(std::string_view hostName) override {
    loop_.log(LogEvent::endpointTableFull, LogField{"host", hostName});
  }

  EventLoop& loop_;
  ClientListener clients_;
  UpstreamPool hosts_;
  CounterClient counter_;
  DiscoveryClient discovery_;
  std::string forwardedRequest_;  ///< The request that is being written to a host; its memory is kept.
  core::GatewayCore core_;
};

}  // namespace merlinbridge::net
