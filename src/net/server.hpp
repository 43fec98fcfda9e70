#pragma once

#include <string>

#include "gateway_core/engine_log_event.hpp"
#include "gateway_core/gateway_core.hpp"
#include "net/client/client_listener.hpp"
#include "net/counter/counter_client.hpp"
#include "net/discovery/discovery_client.hpp"
#include "net/upstream/upstream_pool.hpp"

namespace merlinbridge::net {

/// The sockets round the core: carries what it decides to clients, hosts and the counter.
class Server final : private core::Transport {
 public:
  Server(EventLoop&, const config::GatewayConfig&);

  /// From here on clients are accepted and discovery is watched.
  void serve();
  /// Where discovery and the counter are from now on. Throws std::invalid_argument, and then nothing has
  /// moved.
  void moveTo(const std::string& discovery, const std::string& counter);
  /// Graceful shutdown begins: not ready; what comes is answered, all of it by then.
  void leave(TimePoint by);
  void closeIdle(Duration since = Duration{0}) { clients_.closeIdle(since); }
  /// See ClientListener::stopAccepting.
  bool shut() { return clients_.stopAccepting(); }
  /// See EventLoop::run; for the listener.
  void recoverMissedReadiness() { clients_.recoverMissedReadiness(); }
  void discard() { clients_.discardUnread(); }
  std::size_t unanswered() const { return core_.unanswered(); }
  /// All that was taken has its answer.
  bool quiet() { return unanswered() == 0 && clients_.quiet(); }
  /// Every client's connection has closed.
  bool allClosed() { return clients_.allClosed(); }

 private:
  void answerOk(SlotRef client, std::string_view body, std::string_view type) override;
  void answerRejected(SlotRef client, Duration retryAfter) override;
  void answerFailed(SlotRef client) override;
  std::variant<SlotRef, Outcome> startAttempt(RequestId, AttemptNumber, SlotRef client, HostId,
                                              AttemptDeadline) override;
  bool closeAttempt(SlotRef, AttemptNumber, SlotRef link) override { return hosts_.closeAttempt(link), true; }
  bool isUnsent(SlotRef link) override { return hosts_.isUnsent(link); }
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
  std::string message_;  ///< The request that is being written to a host.
  core::GatewayCore core_;
};

}  // namespace merlinbridge::net
