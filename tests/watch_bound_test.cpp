/// \file
/// A change of the endpoint list must be applied within 6 s by the gateway's clock after discovery becomes
/// reachable. This holds for every state of the watch at that moment, and even if the next two requests are
/// rejected or the next one hangs. docs/event-races.md has the calculation of this bound.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr Duration kChangeAppliedWithin = 6s;
constexpr const char* kRejectedResponse = "HTTP/1.1 503 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";

/// The remote end of discovery: handles the gateway's requests one at a time on `listener`.
class DiscoveryPeer {
 public:
  DiscoveryPeer(GatewayUnderTest& gateway, PeerListener& listener) : gateway_(gateway), listener_(listener) {}

  /// Closes the previous connection and waits for the next complete request, at most 20 s by the gateway's
  /// clock. Returns the time that passed on that clock.
  Duration awaitRequest() {
    constexpr Duration kMaxWait = 20s;
    const TimePoint startedAt = gateway_.clock.currentTime;
    connection.reset();
    while (gateway_.clock.currentTime - startedAt < kMaxWait && !requestArrives())
      gateway_.advanceClock(10ms);
    REQUIRE(connection);
    return gateway_.clock.currentTime - startedAt;
  }

  /// Sends bytes on the current connection. The gateway does not handle them before its event loop runs
  /// again.
  void send(const std::string& bytes) { connection->send(bytes); }
  void rejectRequest() {
    connection->send(kRejectedResponse);
    gateway_.runPendingEvents();
  }
  /// Responds to the current request, a watch or a poll, with an endpoint list. Its only host is in the
  /// lifecycle state `state`.
  void sendEndpointList(int generation, const std::string& state) {
    const std::string endpoint = endpointJson(gateway_.host.port, "h1", state);
    const std::string list = endpointListJson(generation, endpoint, "\"reset\":true,") + "\n";
    const bool isWatch = connection->receivedBytes.find("watch=1") != std::string::npos;
    connection->send(isWatch ? kOkHead + list : okResponse(list));
    gateway_.runPendingEvents();
  }

  std::optional<TestPeer> connection;

 private:
  /// Runs a few turns of the event loop. Returns true once `connection` is accepted and its request has had
  /// time to arrive.
  bool requestArrives() {
    constexpr int kTurnsForConnection = 5;
    constexpr int kTurnsForRequest = 50;
    gateway_.runUntil(
        [&, turns = 0]() mutable { return listener_.accept(connection) || ++turns > kTurnsForConnection; });
    return connection && gateway_.runUntil([&, turns = 0]() mutable {
      return connection->hasReceived(kHeadEnd) || ++turns > kTurnsForRequest;
    });
  }

  GatewayUnderTest& gateway_;
  PeerListener& listener_;
};

/// What the gateway's discovery client is doing when discovery becomes reachable.
enum class WatchState {
  connecting,
  awaitingHead,
  incompleteHead,
  incompleteList,
  noHeartbeats,
  rejectedOnce,
  rejectedRepeatedly,
  pollUnanswered,
  pollAnswered,
  pollInvalid,
  endedRepeatedly
};
constexpr int kWatchStates = 11;

/// Rejects the watch and waits for the poll that follows.
void rejectWatchAndAwaitPoll(DiscoveryPeer& discovery) {
  discovery.rejectRequest();
  discovery.awaitRequest();
}

/// Brings the discovery client into `state`; the caller prepares `connecting` itself. Discovery is reachable
/// when this returns.
void bringInto(WatchState state, DiscoveryPeer& discovery, GatewayUnderTest& gateway) {
  constexpr int kRejections = 12;
  constexpr int kClosedWatches = 8;
  if (state != WatchState::connecting) discovery.awaitRequest();
  switch (state) {
    case WatchState::connecting:
    case WatchState::awaitingHead:
      break;
    case WatchState::incompleteHead:
      discovery.send("HTTP/1.1 2");
      break;
    case WatchState::incompleteList:
      discovery.send(std::string(kChunkedOkHead) + "20\r\n{\"generation\":43,\"ins");
      break;
    case WatchState::noHeartbeats:
      discovery.send(kChunkedOkHead + chunkOf("\n"));
      break;
    case WatchState::rejectedOnce:
      discovery.rejectRequest();
      break;
    case WatchState::rejectedRepeatedly:
      discovery.rejectRequest();
      for (int count = 1; count < kRejections; ++count) {
        discovery.awaitRequest();
        discovery.rejectRequest();
      }
      break;
    case WatchState::pollUnanswered:
      rejectWatchAndAwaitPoll(discovery);
      break;
    case WatchState::pollAnswered:
      rejectWatchAndAwaitPoll(discovery);
      discovery.sendEndpointList(50, "in_service");
      break;
    case WatchState::pollInvalid:
      rejectWatchAndAwaitPoll(discovery);
      discovery.send(okResponse("{\"generation\":5"));
      break;
    case WatchState::endedRepeatedly:
      for (int count = 0; count < kClosedWatches; ++count) {
        if (count > 0) discovery.awaitRequest();
        discovery.send(kChunkedOkHead);
        gateway.runPendingEvents();
        discovery.connection->close();
      }
      break;
  }
  gateway.runPendingEvents();
}

/// How the requests before the successful one fail.
struct EarlierRequests {
  int rejected;
  bool oneHangs;
};

void checkChangeAppliedInTime(WatchState state, EarlierRequests earlier, unsigned seed) {
  UnreachableListener unreachable;
  const std::string seedField = "\"seed\":\"" + std::to_string(100 + seed) + "\"";
  GatewayUnderTest gateway(128, "", "\"seed\":\"8c1f\"", seedField);
  const bool connecting = state == WatchState::connecting;
  if (connecting) {
    gateway.server.setAddresses(unreachable.address(), gateway.counter.address());
    gateway.runPendingEvents();
  }
  DiscoveryPeer discovery(gateway, connecting ? unreachable : gateway.discovery);
  bringInto(state, discovery, gateway);
  if (connecting) unreachable.open();
  Duration took{0};
  std::vector<TestPeer> hanging;
  for (int count = 0; count < earlier.rejected; ++count) {
    took += discovery.awaitRequest();
    discovery.rejectRequest();
  }
  if (earlier.oneHangs) {
    took += discovery.awaitRequest();
    hanging.push_back(std::move(*discovery.connection));
  }
  took += discovery.awaitRequest();
  discovery.sendEndpointList(60, "terminating");
  CHECK(seconds(took) < seconds(kChangeAppliedWithin));
  TestPeer client = gateway.connectClient();
  client.send(clientRequest("look"));
  CHECK(gateway.runUntilReceived(client, "HTTP/1.1 429"));  // the only host is draining
}

}  // namespace

TEST_CASE(
    "A change of the endpoint list is applied within 6 s from every state of the watch, even after further "
    "failures") {
  constexpr unsigned kSeeds = 6;
  const auto state = static_cast<WatchState>(GENERATE(range(0, kWatchStates)));
  const int rejected = GENERATE(0, 2);
  const bool oneHangs = rejected == 0 && GENERATE(true, false);
  for (unsigned seed = 0; seed < kSeeds; ++seed) {
    INFO("state " << static_cast<int>(state) << ", " << rejected << " rejected, one hangs: " << oneHangs
                  << ", seed " << seed);
    checkChangeAppliedInTime(state, {rejected, oneHangs}, seed);
  }
}
