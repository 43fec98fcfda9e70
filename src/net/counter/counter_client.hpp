#pragma once

#include <array>
#include <string>

#include "gateway_core/gateway_core.hpp"
#include "net/counter/counter_connection.hpp"

namespace merlinbridge::net {

/// The client of the counter service: sends each call over the least busy of a few pipelined connections and
/// hands its result to the core. All functions run on the event loop's strand.
class CounterClient final : private CounterConnectionOwner {
 public:
  /// `address`: "host:port" of the counter service; empty if there is none. Throws std::invalid_argument.
  CounterClient(EventLoop&, std::string address, const CounterTimeouts&);

  /// Sets where results go; must be called before the first addToCounter(). The core outlives the client.
  void setCore(core::GatewayCore& core) { core_ = &core; }
  /// Adds units to the count under a key, which the service keeps for `keepFor`. The result goes to
  /// GatewayCore::counterCallEnded(), never before this call has returned.
  void addToCounter(const CounterKey&, double units, Duration keepFor);
  /// Later calls go to this address; calls in flight end on their old connections. Throws
  /// std::invalid_argument, and then nothing has changed.
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
