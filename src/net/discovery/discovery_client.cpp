#include "net/discovery/discovery_client.hpp"

#include <fmt/format.h>

#include <utility>

#include "config/endpoint_list.hpp"
#include "net/discovery/poll_connection.hpp"
#include "net/discovery/watch_connection.hpp"

namespace merlinbridge::net {
namespace {

// Throws config::ConfigError.
config::EndpointList parseEndpointList(std::string json) {
  json.reserve(json.size() + simdjson::SIMDJSON_PADDING);
  simdjson::dom::parser parser;
  config::element root;
  if (parser.parse(json).get(root) || !root.is_object())
    throw config::ConfigError("a line is not a JSON object");
  return config::readEndpointList(config::JsonFields("discovery", root));
}

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& loop, std::string address, std::uint64_t generation,
                                 Duration connectTimeout, Duration drainGrace, std::uint64_t seed)
    : loop_(loop),
      address_(std::move(address)),
      peer_(parseAddress(address_)),
      generation_(generation),
      connectTimeout_(connectTimeout),
      schedule_(connectTimeout, drainGrace, seed) {}

void DiscoveryClient::serve(core::GatewayCore& core) {
  core_ = &core;
  sendRequest();
}

void DiscoveryClient::sendRequest() {
  nextRequest_ = {};
  Connection& connection = openConnection();
  openRequest_ = connection.ref();
  connection.connect(peer_);
}

Connection& DiscoveryClient::openConnection() {
  DiscoveryResponseOwner& owner = *this;
  if (schedule_.nextRequest() == DiscoveryRequest::poll)
    return loop_.open<PollConnection>(owner, connectTimeout_, requestMessage(""));
  const std::string query = fmt::format("?watch=1&from={}", generation_);
  return loop_.open<WatchConnection>(owner, connectTimeout_, requestMessage(query));
}

std::string DiscoveryClient::requestMessage(std::string_view query) const {
  return fmt::format("GET /registry/instances{} HTTP/1.1\r\nHost: {}\r\n\r\n", query, address_);
}

bool DiscoveryClient::applyEndpointList(std::string json) {
  try {
    const config::EndpointList endpoints = parseEndpointList(std::move(json));
    generation_ = endpoints.generation;
    discoveryHeard();
    core_->endpointsUpdated(loop_.now(), endpoints);
    return true;
  } catch (const config::ConfigError& e) {
    loop_.log(LogEvent::endpointListInvalid, LogField{"error", std::string_view(e.what())});
    return false;
  }
}

void DiscoveryClient::discoveryHeard() {
  schedule_.discoveryHeard();
  if (std::exchange(reachability_, Reachability::reachable) == Reachability::unreachable)
    loop_.log(LogEvent::discoveryRestored, LogField{"generation", generation_});
}

void DiscoveryClient::requestEnded(SlotRef connection, DiscoveryOutcome outcome) {
  if (openRequest_ != connection) return;
  loop_.closeDeferred(connection);
  openRequest_ = {};
  scheduleRequest(outcome);
}

void DiscoveryClient::scheduleRequest(DiscoveryOutcome outcome) {
  if (outcome != DiscoveryOutcome::updated &&
      std::exchange(reachability_, Reachability::unreachable) == Reachability::reachable)
    loop_.log(LogEvent::discoveryUnreachable, LogField{"generation", generation_});
  const Duration pause = schedule_.requestEnded(outcome);
  nextRequest_ = loop_.deadlines.add(loop_.now() + pause, [this](TimePoint) { sendRequest(); });
}

// The old address may take its time to end its watch, and changes would be missed meanwhile: the new one is
// asked at once. The present address given once more only cuts a pause short.
void DiscoveryClient::setAddress(const std::string& address) {
  const SocketAddress peer = parseAddress(address);
  if (address == address_ && openRequest_) return;
  address_ = address;
  peer_ = peer;
  if (openRequest_) loop_.closeDeferred(std::exchange(openRequest_, {}));
  if (nextRequest_) loop_.deadlines.cancel(nextRequest_);
  schedule_.restart();
  sendRequest();
}

}  // namespace merlinbridge::net
