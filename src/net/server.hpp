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

/// The network side of the gateway: implements the core's Transport to clients, hosts and the counter
/// service. Owns the core and one component per kind of peer. All functions run on the event loop's strand.
/// The event loop outlives the server and must be stopped before the server is destroyed.
class Server final : private core::Transport {
 public:
  /// Binds and listens; serve() starts accepting. Throws std::invalid_argument for an invalid address, and
  /// boost::system::system_error if the gateway cannot listen on its address.
  Server(EventLoop&, const config::GatewayConfig&);

  /// Starts accepting clients and watching discovery.
  void serve();
  /// Sets the addresses of discovery and the counter service; an empty `counter` means no counter service.
  /// Throws std::invalid_argument for an invalid address and then changes nothing.
  void setAddresses(const std::string& discovery, const std::string& counter);
  /// Begins a graceful shutdown: the gateway reports not ready, and answers every request by `answerBy`.
  void startDraining(TimePoint answerBy);
  /// Closes the client connections that have been idle for at least `idleFor`.
  void closeIdle(Duration idleFor = Duration{0}) { clients_.closeIdle(idleFor); }
  /// Refuses the requests that have been partly received: the process is about to exit.
  void refuseIncompleteRequests() { clients_.refuseIncompleteRequests(); }
  /// Stops accepting if no client is waiting; see ClientAcceptor::stop().
  bool stopAccepting() { return clients_.stopAccepting(); }
  /// Checks the listening socket for missed readiness; the event loop does the same for its connections.
  void recoverMissedReadiness() { clients_.recoverMissedReadiness(); }
  /// Logs when the process's memory has passed another eighth of its limit.
  void checkMemory();
  /// Discards unread data from all clients, so that process exit does not reset their connections.
  void discardUnread() { clients_.discardUnread(); }
  /// Logs what has been counted of ended client connections and is not logged yet.
  void logRest() { clients_.logRest(); }
  /// The number of requests that the core has not answered yet.
  std::size_t unanswered() const { return core_.unansweredCount(); }
  /// Returns true if every request is answered and no client is sending a request or receiving a response.
  bool allAnswered() { return unanswered() == 0 && clients_.allIdle(); }
  /// Returns true if all client connections are closed.
  bool allClosed() { return clients_.allClosed(); }

 private:
  void sendResponse(SlotRef client, std::string_view body, std::string_view type) override;
  void sendRejection(SlotRef client, Duration retryAfter) override;
  void sendFailure(SlotRef client) override;
  std::variant<SlotRef, Outcome> startAttempt(RequestId, AttemptNumber, SlotRef client, HostId,
                                              AttemptDeadline) override;
  bool closeAttempt(SlotRef client, AttemptNumber, SlotRef connection) override;
  bool isUnsent(SlotRef connection) override { return hosts_.isUnsent(connection); }
  core::ClientState clientState(SlotRef client) override;
  void addToCounter(const CounterKey& key, double units, Duration keepFor) override;
  void hostUnavailable(HostId host) override { hosts_.retire(host); }
  void report(EngineEvent event) override { loop_.log(core::logEventOf(event)); }
  void endpointTableFull(std::string_view hostName) override {
    loop_.log(LogEvent::endpointTableFull, LogField{"host", hostName});
  }

  EventLoop& loop_;
  ClientListener clients_;
  UpstreamPool hosts_;
  CounterClient counter_;
  DiscoveryClient discovery_;
  const std::size_t maxMemoryKilobytes_;
  std::size_t loggedMemoryEighths_ = 0;
  std::string forwardedRequest_;  ///< Scratch space for startAttempt(), kept to reuse its memory.
  core::GatewayCore core_;
};

}  // namespace merlinbridge::net
