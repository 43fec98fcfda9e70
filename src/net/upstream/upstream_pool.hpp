#pragma once

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

#include "gateway_core/gateway_core.hpp"
#include "net/event_loop.hpp"
#include "net/upstream/deadline_field.hpp"
#include "net/upstream/upstream_connection.hpp"

namespace merlinbridge::net {

/// The connections to all hosts. An attempt uses the idle connection to its host that was used most recently,
/// or a new one. At the limit of connections, the one that has been idle longest is closed to make room. All
/// functions run on the event loop's strand.
class UpstreamPool final : private UpstreamConnectionOwner {
 public:
  /// `maxConnections`: limit over all hosts, for the gateway's file descriptors. `hostIdleTimeout`: the
  /// configured time after which hosts close idle connections. `loop` must outlive the pool.
  UpstreamPool(EventLoop& loop, std::size_t maxConnections, Duration hostIdleTimeout,
               Duration connectTimeout);

  /// Sets the core to which the ends of attempts are reported. Called once, before the first attempt.
  void setCore(core::GatewayCore& core) { core_ = &core; }
  /// Starts an attempt. `message` is the whole request with its deadline field; what cannot be written
  /// immediately is copied. Returns the connection that carries the attempt, or the outcome of an attempt
  /// that ended immediately. In the first case GatewayCore::attemptEnded() is called in a later turn, unless
  /// closeAttempt() is called before.
  std::variant<SlotRef, Outcome> startAttempt(HostId host, std::string_view message, RequestId requestId,
                                              AttemptNumber attemptNumber, AttemptDeadline deadline);
  /// Abandons an attempt and closes its connection without a report. No effect if the connection is closed
  /// already.
  void closeAttempt(SlotRef connection);
  /// Returns true if the attempt's request has not been written in full.
  bool isUnsent(SlotRef connection);
  /// Closes all idle connections to the host.
  void closeIdle(HostId host) override;
  /// The host's process is gone, has moved or no longer serves: closes its idle connections now and those in
  /// use once their attempts have ended. Whatever answers at the host's address later gets new connections.
  void retire(HostId host);

 private:
  void closeConnection(SlotRef connection) override;
  void idleConnectionBroke(HostId host) override;
  void connectionIdle(HostId host, SlotRef connection) override;
  void attemptEnded(TimePoint now, RequestId requestId, AttemptNumber attemptNumber, Outcome outcome,
                    const core::UpstreamResponse& response) override;
  bool clientAwaitsAnswer(RequestId requestId) override;
  std::string_view hostName(HostId host) const override;

  UpstreamConnection* connectionTo(HostId host);
  UpstreamConnection* takeIdle(HostId host);
  UpstreamConnection* open(HostId host);
  bool evictIdle();
  std::vector<SlotRef>& idleConnectionsTo(HostId host);
  Incarnation& incarnationOf(HostId host);

  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  const std::size_t maxConnections_;
  const UpstreamTimeouts timeouts_;
  const Duration reuseDelay_;
  std::vector<SlotRef> connections_;                   ///< All, in the order of opening.
  std::vector<std::vector<SlotRef>> idleConnections_;  ///< By HostId; most recently used last.
  std::vector<Incarnation> incarnations_;              ///< By HostId; the present one.
};

}  // namespace merlinbridge::net
