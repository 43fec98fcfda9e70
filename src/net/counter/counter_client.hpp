#pragma once

#include <array>
#include <string>

#include "gateway_core/gateway_core.hpp"
#include "net/counter/counter_connection.hpp"

namespace merlinbridge::net {

/// Client of the counter service. Sends each call over the least busy of its pipelined connections and
/// reports the result to the core. All functions run on the event loop's strand.
class CounterClient final : private CounterConnectionOwner {
 public:
  /// `address`: "host:port" of the counter service; empty if there is none. Throws std::invalid_argument if
  /// it cannot be parsed.
  CounterClient(EventLoop&, std::string address, const CounterTimeouts&);

  /// Sets the core that gets the results; must be called before the first addToCounter(). The core must
  /// outlive the client.
  void setCore(core::GatewayCore& core) { core_ = &core; }
  /// Adds units to the count under a key; the service keeps the count for `keepFor`. The result is reported
  /// with GatewayCore::counterCallEnded(), after this function has returned.
  void addToCounter(const CounterKey&, double units, Duration keepFor);
  /// Sends later calls to this address; calls in flight end on their old connections. Throws
  /// std::invalid_argument if the address cannot be parsed, and then changes nothing.
  void setAddress(const std::string& address);

 private:
  static constexpr std::size_t kConnections = 2;

  void counterCallEnded(TimePoint now, const CounterCallResult&) override;
  void counterConnectionClosed(SlotRef connection) override;
  CounterConnection& leastBusyConnection();
  CounterConnection& connectionAt(SlotRef& slot);

  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  std::string address_;
  SocketAddress peerAddress_;
  const CounterTimeouts timeouts_;
  std::array<SlotRef, kConnections> connections_{};
};

}  // namespace merlinbridge::net
