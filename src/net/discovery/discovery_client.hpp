#pragma once

#include <cstdint>
#include <string>

#include "gateway_core/gateway_core.hpp"
#include "net/discovery/discovery_response_owner.hpp"
#include "net/discovery/discovery_schedule.hpp"

namespace merlinbridge::net {

/// The client of discovery: keeps the core's endpoint list up to date. It holds a watch open from the last
/// generation that it knows; while discovery rejects watches, it polls whole lists, and asks for a watch
/// again after every few polls. At most one request is open at a time. All functions run on the event loop's
/// strand.
class DiscoveryClient final : private DiscoveryResponseOwner {
 public:
  /// `address`: "host:port". `generation`: of the endpoint list that the core has already. `drainGrace` and
  /// `seed`: see DiscoverySchedule. Throws std::invalid_argument.
  DiscoveryClient(EventLoop&, std::string address, std::uint64_t generation, Duration connectTimeout,
                  Duration drainGrace, std::uint64_t seed);

  /// Sends the first request. The core outlives the client.
  void serve(core::GatewayCore& core);
  /// Closes the present request and asks this address at once for all changes since the last generation. Has
  /// no effect if the address is the present one and a request to it is open. Throws std::invalid_argument,
  /// and then nothing has changed.
  void setAddress(const std::string& address);

 private:
  enum class Reachability { reachable, unreachable };

  bool applyEndpointList(std::string json) override;
  void watchHeard() override { discoveryHeard(); }
  void requestEnded(SlotRef connection, DiscoveryOutcome) override;

  void sendRequest();
  Connection& openConnection();
  std::string requestMessage(std::string_view query) const;
  void discoveryHeard();
  void scheduleRequest(DiscoveryOutcome);

  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  std::string address_;
  SocketAddress peer_;
  std::uint64_t generation_;  ///< Of the last endpoint list applied.
  const Duration connectTimeout_;
  DiscoverySchedule schedule_;
  Reachability reachability_ = Reachability::reachable;
  SlotRef openRequest_{};                      ///< Its connection; empty between requests.
  core::DeadlineQueue::Handle nextRequest_{};  ///< Between requests.
};

}  // namespace merlinbridge::net
