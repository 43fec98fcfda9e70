#include "net/discovery/discovery_client.hpp"

#include <fmt/format.h>

#include <utility>

#include "config/endpoint_list.hpp"
#include "net/discovery/poll_connection.hpp"
#include "net/discovery/watch_connection.hpp"

namespace merlinbridge::net {
namespace {

// A response that has made no progress for this long is not logged as slow, and gives way to a newer one.
constexpr Duration kStallThreshold = kHeartbeatInterval / 2;

bool hasStalled(const DiscoveryConnection& connection) {
  return connection.timeWithoutProgress() > kStallThreshold;
}

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
  newest_ = {.kind = schedule_.nextRequest(), .sentAt = loop_.now()};
  Connection& connection = openConnection();
  newest_.connection = connection.ref();
  connection.connect(peerAddress_);
}

Connection& DiscoveryClient::openConnection() {
  DiscoveryResponseHandler& handler = *this;
  if (newest_.kind == DiscoveryRequest::poll)
    return loop_.open<PollConnection>(handler, connectTimeout_, requestMessage(""));
  const std::string query = fmt::format("?watch=1&from={}", generation_);
  return loop_.open<WatchConnection>(handler, connectTimeout_, requestMessage(query));
}

std::string DiscoveryClient::requestMessage(std::string_view query) const {
  return fmt::format("GET /registry/instances{} HTTP/1.1\r\nHost: {}\r\n\r\n", query, address_);
}

// A list from the newest request also holds what the slow one would deliver. A slow watch that has caught up
// makes the newest request unnecessary.
bool DiscoveryClient::applyEndpointList(SlotRef connection, std::string json) {
  try {
    const config::EndpointList endpoints = parseEndpointList(std::move(json));
    generation_ = endpoints.generation;
    markReachable();
    if (newest_.connection == connection)
      close(slow_);
    else if (slow_.kind == DiscoveryRequest::watch)
      replaceNewestBySlow();
    core_->endpointsUpdated(loop_.now(), endpoints);
    return true;
  } catch (const config::ConfigError& e) {
    loop_.log(LogEvent::endpointListInvalid, LogField{"error", std::string_view(e.what())});
    return false;
  }
}

// A watch that sends heartbeats is up to date, and one is enough. But a slow list is read on for some time
// beside a newer watch that has sent heartbeats only.
void DiscoveryClient::watchReceivedHeartbeat(SlotRef connection) {
  markReachable();
  if (slow_.connection == connection) return replaceNewestBySlow();
  if (!slow_) return;
  const auto& slow = *loop_.find<DiscoveryConnection>(slow_.connection);
  if (!slow.isInsideList() || slow.partAge() > schedule_.maxSlowResponseAge()) close(slow_);
}

void DiscoveryClient::markReachable() {
  schedule_.resetBackoff();
  isReachable_ = true;
  const LoggedTrouble before = std::exchange(logged_, {});
  if (before.unreachable || before.slow)
    loop_.log(LogEvent::discoveryRestored, LogField{"generation", generation_});
}

void DiscoveryClient::logUnreachable() {
  isReachable_ = false;
  if (!std::exchange(logged_.unreachable, true))
    loop_.log(LogEvent::discoveryUnreachable, LogField{"generation", generation_});
}

void DiscoveryClient::logSlow(const DiscoveryConnection& connection) {
  using std::chrono::milliseconds;
  isReachable_ = false;
  if (hasStalled(connection) || std::exchange(logged_.slow, true)) return;
  loop_.log(LogEvent::discoverySlow, LogField{"generation", generation_},
            LogField{"received_bytes", connection.partBytes()},
            LogField{"elapsed_ms", std::chrono::duration_cast<milliseconds>(connection.partAge()).count()});
}

void DiscoveryClient::replaceNewestBySlow() {
  close(newest_);
  cancelNextRequest();
  newest_ = std::exchange(slow_, {});
}

// A response whose head was slow is reported again if its list is slow, too.
void DiscoveryClient::responseIsSlow(SlotRef connection) {
  if (slow_.connection == connection) return;
  const auto& newer = *loop_.find<DiscoveryConnection>(connection);
  const OpenRequest request = newest_;
  logSlow(newer);
  if (slow_ && !givesWay(*loop_.find<DiscoveryConnection>(slow_.connection), newer)) {
    close(newest_);
  } else {
    close(slow_);
    slow_ = std::exchange(newest_, {});
  }
  sendRequestAfter(schedule_.requestEnded(request.kind, DiscoveryOutcome::slow, ageOf(request)));
}

// The older of two slow responses is nearer to its end, unless it has stalled meanwhile, has not reached its
// list, or may never end.
bool DiscoveryClient::givesWay(const DiscoveryConnection& slow, const DiscoveryConnection& newer) {
  if (!slow.isInsideList() && newer.isInsideList()) return true;
  if (hasStalled(slow) && !hasStalled(newer)) return true;
  if (slow.partAge() <= schedule_.maxSlowResponseAge()) return false;
  schedule_.slowResponseTooOld();
  return true;
}

void DiscoveryClient::requestEnded(SlotRef connection, DiscoveryOutcome outcome) {
  if (newest_.connection == connection) return newestRequestEnded(outcome);
  if (slow_.connection == connection) slowRequestEnded(outcome);
}

void DiscoveryClient::newestRequestEnded(DiscoveryOutcome outcome) {
  close(newest_);
  if (outcome != DiscoveryOutcome::updated && !slow_) logUnreachable();
  sendRequestAfter(schedule_.requestEnded(newest_.kind, outcome, ageOf(newest_)));
}

void DiscoveryClient::slowRequestEnded(DiscoveryOutcome outcome) {
  close(slow_);
  if (outcome != DiscoveryOutcome::updated && !isReachable_) logUnreachable();
  schedule_.slowRequestEnded(slow_.kind, outcome);
}

void DiscoveryClient::sendRequestAfter(Duration pause) {
  nextRequestTimer_ = loop_.deadlines.add(loop_.now() + pause, [this](TimePoint) { sendRequest(); });
}

void DiscoveryClient::cancelNextRequest() {
  if (nextRequestTimer_) loop_.deadlines.cancel(std::exchange(nextRequestTimer_, {}));
}

void DiscoveryClient::close(OpenRequest& request) {
  if (request) loop_.closeDeferred(std::exchange(request.connection, {}));
}

// Does not wait until the old address ends the watch: changes published at the new one would be missed in the
// meantime. If the address is the current one and no newest request is open, this only ends the pause early.
void DiscoveryClient::setAddress(const std::string& address) {
  const SocketAddress peerAddress = parseAddress(address);
  if (address == address_ && newest_) return;
  if (address != address_) close(slow_);
  address_ = address;
  peerAddress_ = peerAddress;
  close(newest_);
  cancelNextRequest();
  schedule_.reset();
  sendRequest();
}

}  // namespace merlinbridge::net
