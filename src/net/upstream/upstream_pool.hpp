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

/// The connections to all hosts. Takes the connection to a host that was used last for the next attempt,
/// opens one if none is idle, and keeps their number within the gateway's descriptors by closing the one that
/// has been idle longest. Used on the event loop's strand.
class UpstreamPool final : private UpstreamConnectionOwner {
 public:
  /// `idle` is the time after which hosts close idle connections, by the settings. `loop` must outlive the
  /// pool.
  UpstreamPool(EventLoop& loop, std::size_t maxConnections, Duration hostIdleTimeout,
               Duration connectTimeout);

  /// Sets the core to which attempts report their end; called once, before the first attempt.
  void setCore(core::GatewayCore& core) { core_ = &core; }
  /// Starts an attempt; `message` is the whole request with its deadline field, and is copied where it cannot
  /// be written at once. Returns the connection that carries the attempt, or the outcome that it had at once.
  /// In the first case, GatewayCore::attemptEnded() follows in a later turn, unless closeAttempt() is called.
  std::variant<SlotRef, Outcome> startAttempt(HostId host, std::string_view message, RequestId requestId,
                                              AttemptNumber attemptNumber, AttemptDeadline deadline);
  /// Gives an attempt up and closes its connection; nothing is reported. Has no effect if it is gone.
  void closeAttempt(SlotRef connection);
  /// Returns true if the attempt's request has not been written in full.
  bool isUnsent(SlotRef connection);
  /// Closes the idle connections to that host.
  void closeIdle(HostId host) override;

 private:
  void closeConnection(SlotRef connection) override;
  void connectionIdle(HostId host, SlotRef connection) override;
  void attemptEnded(TimePoint now, RequestId requestId, AttemptNumber attemptNumber, Outcome outcome,
                    const core::UpstreamResponse& response) override;
  bool isPending(RequestId requestId) override;
  std::string_view hostName(HostId host) const override;

  UpstreamConnection* connectionTo(HostId host);
  UpstreamConnection* takeIdle(HostId host);
  UpstreamConnection* open(HostId host);
  bool evictIdle();
  std::vector<SlotRef>& idleConnectionsTo(HostId host);

  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  const std::size_t maxConnections_;
  const UpstreamTimeouts timeouts_;
  const Duration reuseDelay_;
  std::vector<SlotRef> connections_;                   ///< All, in the order in which they were opened.
  std::vector<std::vector<SlotRef>> idleConnections_;  ///< By HostId; the one used last is at the end.
};

}  // namespace merlinbridge::net
