#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "config/endpoint_list.hpp"
#include "emulator/faults/active_faults.hpp"
#include "emulator/host_fleet.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/run_context.hpp"

namespace merlinbridge::emulator {

/// Receives the endpoint updates that discovery sends to the gateways.
class EndpointSubscriber {
 public:
  virtual ~EndpointSubscriber() = default;
  virtual void endpointsUpdated(std::uint32_t gateway, const config::EndpointList&) = 0;
};

/// The discovery service: keeps the generation of the host list and sends each gateway the changes since the
/// generation that the gateway last received. Lists are sent as text and parsed with the daemon's own
/// splitter and reader.
class DiscoveryService {
 public:
  /// All arguments must outlive the service.
  DiscoveryService(RunContext&, std::uint64_t seed, const ActiveFaults&, const HostFleet&,
                   EndpointSubscriber&);

  /// A gateway has started. Returns the complete list and sends the gateway all later changes.
  config::EndpointList subscribe(std::uint32_t gateway);
  /// The gateway's process has ended.
  void unsubscribe(std::uint32_t gateway);
  /// Sends the changed state of these hosts to all gateways.
  void publish(const std::vector<std::uint32_t>& hosts);
  /// Whether the current incarnation of the gateway has received the host's start time.
  bool hasAnnouncedStart(std::uint32_t gateway, std::uint32_t host) const {
    return subscriptions_[gateway].announcedStarts.contains(host);
  }

 private:
  enum class State { none, upToDate, notifying };
  struct Subscription {
    State state = State::none;
    std::uint64_t session = 0;  ///< Changes with each subscription, to invalidate events of the last one.
    std::uint64_t generation = 0;
    int refusals = 0;
    std::set<std::uint32_t> announcedStarts;
  };
  struct Change {
    std::uint64_t generation = 0;
    std::uint32_t host = 0;
  };

  void scheduleUpdate(std::uint32_t gateway);
  void sendUpdate(std::uint32_t gateway, std::uint64_t session);
  void retryUpdate(std::uint32_t gateway, Duration wait);
  std::set<std::uint32_t> changedSince(std::uint64_t generation) const;
  /// The list as the gateway parses it; empty if the list was truncated in transit.
  std::optional<config::EndpointList> transmit(std::string text);
  std::string listText(const std::set<std::uint32_t>& hosts) const;
  void announce(std::uint32_t gateway, std::uint32_t host);

  RunContext& run_;
  const ActiveFaults& faults_;
  const HostFleet& hosts_;
  EndpointSubscriber& subscriber_;
  RandomStream random_;
  std::uint64_t generation_ = 1;
  std::vector<Change> changes_;              ///< By generation, ascending.
  std::vector<Subscription> subscriptions_;  ///< By gateway.
};

}  // namespace merlinbridge::emulator
