#pragma once

#include <cstdint>
#include <string>

#include "gateway_core/gateway_core.hpp"
#include "net/discovery/discovery_response_handler.hpp"
#include "net/discovery/discovery_schedule.hpp"

namespace merlinbridge::net {

/// Client of discovery: keeps the core's endpoint list up to date. Holds a watch open that delivers all
/// changes after the last applied generation. While discovery rejects watches, the client polls complete
/// lists and retries the watch after a few polls. At most one request is open at a time. All functions run on
/// the event loop's strand.
class DiscoveryClient final : private DiscoveryResponseHandler {
 public:
  /// `address`: "host:port". `generation`: that of the core's initial endpoint list. `drainGrace` and `seed`:
  /// see DiscoverySchedule. Throws std::invalid_argument if the address cannot be parsed.
  DiscoveryClient(EventLoop&, std::string address, std::uint64_t generation, Duration connectTimeout,
                  Duration drainGrace, std::uint64_t seed);

  /// Sends the first request. Endpoint lists go to `core`, which must outlive the client.
  void start(core::GatewayCore& core);
  /// Closes the open request and immediately sends a watch request to this address, for all changes after the
  /// last applied generation. No effect if the address is the current one and a request to it is open. Throws
  /// std::invalid_argument if the address cannot be parsed, and then changes nothing.
  void setAddress(const std::string& address);

 private:
  enum class Reachability { reachable, unreachable };

  bool applyEndpointList(std::string json) override;
  void watchReceivedData() override { markReachable(); }
  void requestEnded(SlotRef connection, DiscoveryOutcome) override;

  void sendRequest();
  Connection& openConnection();
  std::string requestMessage(std::string_view query) const;
  void markReachable();
  void scheduleRequest(DiscoveryOutcome);

  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  std::string address_;
  SocketAddress peerAddress_;
  std::uint64_t generation_;  ///< Of the last applied endpoint list.
  const Duration connectTimeout_;
  DiscoverySchedule schedule_;
  Reachability reachability_ = Reachability::reachable;
  SlotRef requestConnection_{};  ///< Connection of the open request; empty between requests.
  core::DeadlineQueue::Handle nextRequestTimer_{};  ///< Sends the next request; empty while one is open.
};

}  // namespace merlinbridge::net
