#include "emulator/discovery_service.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

#include "config/json_stream_splitter.hpp"

namespace merlinbridge::emulator {
namespace {

/// The interval between heartbeats on a watch, as the protocol defines it.
constexpr Duration kHeartbeatInterval = std::chrono::seconds(2);
/// A gateway whose connections discovery refuses backs off for at most this many heartbeats.
constexpr int kMaxBackoffInHeartbeats = 2;
constexpr int kMaxBackoffDoublings = 8;
constexpr double kTruncationProbability = 0.5;  ///< Per list, while FaultKind::discoveryMangle is in effect.

}  // namespace

DiscoveryService::DiscoveryService(RunContext& run, std::uint64_t seed, const ActiveFaults& faults,
                                   const HostFleet& hosts, EndpointSubscriber& subscriber)
    : run_(run),
      faults_(faults),
      hosts_(hosts),
      subscriber_(subscriber),
      random_(seed, "lists"),
      subscriptions_(run.scenario().gateways) {}

config::EndpointList DiscoveryService::subscribe(std::uint32_t gateway) {
  Subscription& subscription = subscriptions_[gateway];
  subscription = {State::upToDate, subscription.session + 1, generation_, 0, {}};
  config::EndpointList list;
  list.generation = generation_;
  list.complete = true;
  for (std::uint32_t host = 0; host < hosts_.size(); ++host) {
    if (hosts_.isRemoved(host)) continue;
    list.entries.push_back(hosts_.endpointOf(host));
    announce(gateway, host);
  }
  return list;
}

void DiscoveryService::unsubscribe(std::uint32_t gateway) {
  subscriptions_[gateway].state = State::none;
  ++subscriptions_[gateway].session;
}

void DiscoveryService::publish(const std::vector<std::uint32_t>& hosts) {
  ++generation_;
  for (const std::uint32_t host : hosts) changes_.push_back({generation_, host});
  for (std::uint32_t gateway = 0; gateway < subscriptions_.size(); ++gateway) scheduleUpdate(gateway);
}

void DiscoveryService::scheduleUpdate(std::uint32_t gateway) {
  Subscription& subscription = subscriptions_[gateway];
  if (subscription.state != State::upToDate || subscription.generation == generation_) return;
  subscription.state = State::notifying;
  const double factor = (0.5 + random_.uniform01()) * faults_.factor(FaultKind::discoveryLate);
  run_.events().after(scaled(run_.scenario().notificationDelay, factor),
                      [this, gateway, session = subscription.session] { sendUpdate(gateway, session); });
}

void DiscoveryService::retryUpdate(std::uint32_t gateway, Duration wait) {
  const Duration jittered = scaled(wait, 0.5 + random_.uniform01());
  run_.events().after(
      jittered, [this, gateway, session = subscriptions_[gateway].session] { sendUpdate(gateway, session); });
}

void DiscoveryService::sendUpdate(std::uint32_t gateway, std::uint64_t session) {
  Subscription& subscription = subscriptions_[gateway];
  if (subscription.session != session) return;
  const Duration connectTimeout = run_.scenario().connectTimeout;
  if (faults_.any(FaultKind::discoveryDown)) return retryUpdate(gateway, connectTimeout);
  if (faults_.affects(FaultKind::discoveryRefuse, gateway)) {
    const Duration backoff = connectTimeout * (1 << std::min(kMaxBackoffDoublings, subscription.refusals));
    ++subscription.refusals;
    return retryUpdate(gateway, std::min<Duration>(kMaxBackoffInHeartbeats * kHeartbeatInterval, backoff));
  }
  subscription.refusals = 0;
  const std::set<std::uint32_t> changed = changedSince(subscription.generation);
  const auto endpoints = transmit(listText(changed));
  if (!endpoints) return retryUpdate(gateway, connectTimeout);
  run_.metrics().endpointUpdates += endpoints->entries.size();
  subscription.generation = generation_;
  subscription.state = State::upToDate;
  for (const std::uint32_t host : changed) announce(gateway, host);
  subscriber_.endpointsUpdated(gateway, *endpoints);
}

std::set<std::uint32_t> DiscoveryService::changedSince(std::uint64_t generation) const {
  std::set<std::uint32_t> changed;
  for (auto at = changes_.rbegin(); at != changes_.rend() && at->generation > generation; ++at)
    changed.insert(at->host);
  return changed;
}

std::optional<config::EndpointList> DiscoveryService::transmit(std::string text) {
  if (faults_.any(FaultKind::discoveryMangle) && random_.bernoulli(kTruncationProbability))
    text.resize(1 + random_.below(text.size() - 1));
  // The text arrives in two parts, split at a random position.
  config::JsonStreamSplitter splitter;
  const std::string firstPart = text.substr(0, random_.below(text.size() + 1));
  auto result = splitter.scan(firstPart);
  if (result == config::JsonStreamSplitter::Result::incomplete) result = splitter.scan(text);
  if (result != config::JsonStreamSplitter::Result::object) return std::nullopt;
  std::string object = text.substr(splitter.objectStart(), splitter.position() - splitter.objectStart());
  object.reserve(object.size() + simdjson::SIMDJSON_PADDING);
  simdjson::dom::parser parser;
  config::element root;
  if (parser.parse(object).get(root)) return std::nullopt;
  return config::readEndpointList(config::JsonFields("discovery", root));
}

void DiscoveryService::announce(std::uint32_t gateway, std::uint32_t host) {
  const bool serving = !hosts_.isDraining(host) && !hosts_.isRemoved(host);
  run_.checker().servingStateAnnounced(run_.now(), {gateway}, {host}, serving);
  if (hosts_.startedDuringRun(host)) subscriptions_[gateway].announcedStarts.insert(host);
}

std::string DiscoveryService::listText(const std::set<std::uint32_t>& hosts) const {
  const std::string_view separatorSpace = run_.scenario().indentedLists ? "\n    " : "";
  std::string text = fmt::format("{{{0}\"generation\": {1},{0}\"reset\": false,{0}\"instances\": [",
                                 separatorSpace, generation_);
  std::string_view separator;
  for (const std::uint32_t host : hosts) {
    const config::Endpoint endpoint = hosts_.endpointOf(host);
    const std::string_view listedLifecycle = endpoint.serving ? "in_service" : "terminating";
    fmt::format_to(
        std::back_inserter(text),
        "{}{}{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"{}\",\"machineType\":\"m\",\"cell\":{},"
        "\"lifecycle\":\"{}\",\"weight\":1,\"startedAtMs\":{}}}",
        separator, separatorSpace, endpoint.name, endpoint.address, endpoint.zone, endpoint.cell,
        endpoint.gone ? "terminated" : listedLifecycle,
        std::chrono::duration_cast<std::chrono::milliseconds>(endpoint.started).count());
    separator = ",";
  }
  return text + std::string(separatorSpace) + "]" + std::string(separatorSpace) + "}\n";
}

}  // namespace merlinbridge::emulator
