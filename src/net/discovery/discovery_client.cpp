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
    throw config::ConfigError("endpoint list is not a JSON object");
  return config::readEndpointList(config::JsonFields("discovery", root));
}

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& loop, std::string address, std::uint64_t generation,
                                 Duration connectTimeout, Duration drainGrace, std::uint64_t seed)
    : loop_(loop),
      address_(std::move(address)),
      peerAddress_(parseAddress(address_)),
      generation_(generation),
      connectTimeout_(connectTimeout),
      schedule_(connectTimeout, drainGrace, seed) {}

void DiscoveryClient::start(core::GatewayCore& core) {
  core_ = &core;
  sendRequest();
}

void DiscoveryClient::sendRequest() {
  nextRequestTimer_ = {};
  Connection& connection = openConnection();
  requestConnection_ = connection.ref();
  connection.connect(peerAddress_);
}

Connection& DiscoveryClient::openConnection() {
  DiscoveryResponseHandler& handler = *this;
  if (schedule_.nextRequest() == DiscoveryRequest::poll)
    return loop_.open<PollConnection>(handler, connectTimeout_, requestMessage(""));
  const std::string query = fmt::format("?watch=1&from={}", generation_);
  return loop_.open<WatchConnection>(handler, connectTimeout_, requestMessage(query));
}

std::string DiscoveryClient::requestMessage(std::string_view query) const {
  return fmt::format("GET /registry/instances{} HTTP/1.1\r\nHost: {}\r\n\r\n", query, address_);
}

bool DiscoveryClient::applyEndpointList(std::string json) {
  try {
    const config::EndpointList endpoints = parseEndpointList(std::move(json));
    generation_ = endpoints.generation;
    markReachable();
    core_->endpointsUpdated(loop_.now(), endpoints);
    return true;
  } catch (const config::ConfigError& e) {
    loop_.log(LogEvent::endpointListInvalid, LogField{"error", std::string_view(e.what())});
    return false;
  }
}

void DiscoveryClient::markReachable() {
  schedule_.resetBackoff();
  if (std::exchange(reachability_, Reachability::reachable) == Reachability::unreachable)
    loop_.log(LogEvent::discoveryRestored, LogField{"generation", generation_});
}

void DiscoveryClient::requestEnded(SlotRef connection, DiscoveryOutcome outcome) {
  if (requestConnection_ != connection) return;
  loop_.closeDeferred(connection);
  requestConnection_ = {};
  scheduleRequest(outcome);
}

void DiscoveryClient::scheduleRequest(DiscoveryOutcome outcome) {
  if (outcome != DiscoveryOutcome::updated &&
      std::exchange(reachability_, Reachability::unreachable) == Reachability::reachable)
    loop_.log(LogEvent::discoveryUnreachable, LogField{"generation", generation_});
  const Duration pause = schedule_.requestEnded(outcome);
  nextRequestTimer_ = loop_.deadlines.add(loop_.now() + pause, [this](TimePoint) { sendRequest(); });
}

// Does not wait until the old address ends the watch: changes published at the new one would be missed in the
// meantime. If the address is the current one and no request is open, this only ends the pause early.
void DiscoveryClient::setAddress(const std::string& address) {
  const SocketAddress peerAddress = parseAddress(address);
  if (address == address_ && requestConnection_) return;
  address_ = address;
  peerAddress_ = peerAddress;
  if (requestConnection_) loop_.closeDeferred(std::exchange(requestConnection_, {}));
  if (nextRequestTimer_) loop_.deadlines.cancel(nextRequestTimer_);
  schedule_.reset();
  sendRequest();
}

}  // namespace merlinbridge::net
