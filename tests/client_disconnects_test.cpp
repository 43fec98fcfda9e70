/// \file
/// Clients that close while their request is pending: no attempt is written for a closed client, even if the
/// gateway handles other events of the same turn before it reads the client's FIN.
#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <thread>
#include <vector>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

/// Real time in which the kernel sends its second SYN, one second after the first.
constexpr auto kSynRetransmissionTime = 2500ms;

/// Several hosts of one gateway, with the connections that the gateway has opened to them.
class HostGroup {
 public:
  explicit HostGroup(std::size_t count) : listeners_(count) {
    for (std::size_t index = 0; index < count; ++index) {
      if (index > 0) endpoints += ",";
      endpoints += endpointJson(listeners_[index].port, "h" + std::to_string(index), "in_service");
    }
  }

  /// Accepts and reads everything that has arrived. Returns the number of requests without a response.
  std::size_t waitingRequests() {
    for (const PeerListener& listener : listeners_)
      for (std::optional<TestPeer> accepted; listener.accept(accepted);)
        connections_.push_back(std::move(*accepted));
    return static_cast<std::size_t>(std::count_if(connections_.begin(), connections_.end(), hasRequest));
  }

  /// Responds to each waiting request with `response`.
  void respond(std::string_view response) {
    for (TestPeer& connection : connections_) {
      if (!hasRequest(connection)) continue;
      connection.receivedBytes.clear();
      connection.send(response);
    }
  }

  /// Opens `count` connections from `gateway` to these hosts and leaves them idle, so that a retry can be
  /// written immediately.
  void openIdleConnections(GatewayUnderTest& gateway, std::size_t count) {
    std::vector<TestPeer> clients;
    for (std::size_t number = 0; number < count; ++number) clients.push_back(gateway.connectClient());
    for (TestPeer& client : clients) client.send(clientRequest("look"));
    REQUIRE(gateway.runUntil([&] { return waitingRequests() == count; }));
    respond(okResponse("first"));
    const auto hasResponse = [](TestPeer& client) { return client.hasReceived("first"); };
    REQUIRE(gateway.runUntil([&] { return std::all_of(clients.begin(), clients.end(), hasResponse); }));
    gateway.advanceClock(20ms);
  }

  std::string endpoints;  ///< All hosts, for the gateway's configuration.

 private:
  static bool hasRequest(TestPeer& connection) { return connection.hasReceived(kHeadEnd); }

  std::deque<PeerListener> listeners_;
  std::vector<TestPeer> connections_;
};

/// Connects `count` more clients, each of which sends a liveness probe.
void connectProbeClients(GatewayUnderTest& gateway, std::deque<TestPeer>& clients, std::size_t count) {
  for (std::size_t number = 0; number < count; ++number) {
    clients.push_back(gateway.connectClient());
    clients.back().send(kLiveProbe);
  }
}

std::size_t servedCount(std::deque<TestPeer>& clients) {
  const auto served = [](TestPeer& client) { return client.hasReceived("live"); };
  return static_cast<std::size_t>(std::count_if(clients.begin(), clients.end(), served));
}

}  // namespace

TEST_CASE("No retry starts for a client that has closed, one or many, whichever side is read first") {
  const std::size_t clientCount = GENERATE(1, 40);
  const bool hostFirst = GENERATE(true, false);
  const bool staysConnected = GENERATE(true, false);
  HostGroup hosts(60);
  GatewayUnderTest gateway(1024, hosts.endpoints);
  hosts.openIdleConnections(gateway, 100);
  std::vector<TestPeer> clients;
  for (std::size_t number = 0; number < clientCount; ++number) clients.push_back(gateway.connectClient());
  for (TestPeer& client : clients) client.send(clientRequest("look"));
  REQUIRE(gateway.runUntil([&] { return hosts.waitingRequests() == clientCount; }));
  if (hostFirst) hosts.respond(kDeclinedResponse);
  for (TestPeer& client : clients)
    if (!staysConnected) client.close();
  if (!hostFirst) hosts.respond(kDeclinedResponse);
  gateway.runPendingEvents();
  gateway.advanceClock(200ms);
  if (staysConnected) CHECK(hosts.waitingRequests() > 0);
  if (!staysConnected) CHECK(hosts.waitingRequests() == 0);
  CHECK((gateway.server.unanswered() == 0) == !staysConnected);
}

TEST_CASE("No retry starts for a client that pipelined many requests and closed less than 0.1 s ago") {
  constexpr std::size_t kPipelinedBytes = 400'000;
  HostGroup hosts(2);
  GatewayUnderTest gateway(128, hosts.endpoints);
  hosts.openIdleConnections(gateway, 4);
  TestPeer client = gateway.connectClient();
  std::string pipelined;
  while (pipelined.size() < kPipelinedBytes) pipelined += clientRequest("look");
  client.send(clientRequest("look"));
  REQUIRE(gateway.runUntil([&] { return hosts.waitingRequests() == 1; }));
  std::size_t sentBytes = 0;
  gateway.runUntil([&, turns = 0]() mutable {
    sentBytes += client.trySend(std::string_view(pipelined).substr(sentBytes));
    return sentBytes == pipelined.size() || ++turns == 1000;
  });
  // The FIN arrives after the bytes that the client's kernel has not delivered yet.
  client.close();
  gateway.runPendingEvents();
  gateway.advanceClock(70ms);
  hosts.respond(kDeclinedResponse);
  gateway.runPendingEvents();
  gateway.advanceClock(200ms);
  CHECK(hosts.waitingRequests() == 0);
  CHECK(gateway.server.unanswered() == 0);
}

TEST_CASE("Requests behind which unread data waits are refused, and those that come after it are served") {
  constexpr std::size_t kPipelinedBytes = 300'000;
  HostGroup hosts(2);
  GatewayUnderTest gateway(128, hosts.endpoints, "\"limits\":{", "\"limits\":{\"memory_mb\":1,");
  TestPeer client = gateway.connectClient();
  std::string pipelined;
  std::size_t requests = 0;
  for (; pipelined.size() < kPipelinedBytes; ++requests) pipelined += clientRequest("look");
  std::size_t sentBytes = 0;
  const auto answersTo = [&](std::string_view status) {
    std::size_t answers = 0;
    const std::string& received = client.readAvailable();
    for (std::size_t at = received.find(status); at != std::string::npos; at = received.find(status, at + 1))
      ++answers;
    return answers;
  };
  REQUIRE(gateway.runUntil([&] {
    sentBytes += client.trySend(std::string_view(pipelined).substr(sentBytes));
    if (hosts.waitingRequests() > 0) hosts.respond(okResponse("served"));
    return answersTo("HTTP/1.1 ") == requests;
  }));
  CHECK(answersTo("too many requests sent at once") > requests / 2);
  client.receivedBytes.clear();
  gateway.advanceClock(110ms);  // a client whose end was hidden has shown it by now
  client.send(clientRequest("look"));
  REQUIRE(gateway.runUntil([&] { return hosts.waitingRequests() == 1; }));
  hosts.respond(okResponse("later"));
  CHECK(gateway.runUntilReceived(client, "later"));
}

TEST_CASE("A request is not written to a connection that comes up in the turn in which the client closes") {
  UnreachableListener host;
  GatewayUnderTest gateway(128, endpointJson(host.port, "h1", "in_service"));
  gateway.runPendingEvents();
  TestPeer client = gateway.connectClient();
  gateway.runPendingEvents();
  const std::size_t bodyBytes = GENERATE(0u, 60'000u);
  client.send(clientRequest(bodyBytes > 0 ? "pay" : "look", std::string(bodyBytes, 'b')));
  gateway.runPendingEvents();
  host.open();
  std::this_thread::sleep_for(kSynRetransmissionTime);  // the gateway does not run meanwhile
  client.close();
  std::optional<TestPeer> connection;
  REQUIRE(gateway.runUntil([&] { return host.accept(connection); }));
  gateway.runPendingEvents();
  gateway.advanceClock(200ms);
  CHECK(connection->readAvailable().empty());
  CHECK(connection->isClosedByRemote());
  CHECK(gateway.server.unanswered() == 0);
}

TEST_CASE("Idle clients that hold all slots are closed for many new clients within few rounds") {
  constexpr std::size_t kSlots = 64;
  constexpr std::size_t kNewClients = 32;
  constexpr int kRounds = 7;
  constexpr Duration kCloseGrace = 260ms;  // a little more than an eighth of the longest deadline
  const bool idleClientsClose = GENERATE(true, false);
  GatewayUnderTest gateway(32 + 2 * kSlots);
  std::deque<TestPeer> idleClients;
  std::deque<TestPeer> newClients;
  connectProbeClients(gateway, idleClients, kSlots);
  REQUIRE(gateway.runUntil([&] { return servedCount(idleClients) == kSlots; }));
  connectProbeClients(gateway, newClients, kNewClients);
  // After the gateway's FIN an idle client closes one round later, or never; in the second case the gateway
  // closes the connection on its own.
  for (int round = 0; round < kRounds; ++round) {
    gateway.runPendingEvents();
    if (!idleClientsClose) gateway.advanceClock(kCloseGrace);
    for (TestPeer& client : idleClients)
      if (idleClientsClose && client.isClosedByRemote()) client.close();
    gateway.runPendingEvents();
  }
  CHECK(servedCount(newClients) == kNewClients);
  CHECK(std::none_of(idleClients.begin(), idleClients.end(),
                     [](const TestPeer& client) { return client.wasReset; }));
}

TEST_CASE(
    "The deadline field holds the time left when the connection comes up, not when the connect started") {
  UnreachableListener host;
  GatewayUnderTest gateway(128, endpointJson(host.port, "h1", "in_service"));
  gateway.runPendingEvents();
  TestPeer client = gateway.connectClient();
  client.send(clientRequest("look"));  // with a deadline of 900 ms
  gateway.runPendingEvents();
  gateway.advanceClock(200ms);
  host.open();
  std::optional<TestPeer> connection;
  // In real time: the kernel sends its second SYN one second after the first.
  std::this_thread::sleep_for(1500ms);
  REQUIRE(gateway.runUntil([&] { return host.accept(connection); }));
  REQUIRE(gateway.runUntilReceived(*connection, kHeadEnd));
  CHECK_THAT(connection->receivedBytes, Catch::Contains("Req-Deadline-Ms: 684\r\n"));
  connection->send(okResponse("late but in time"));
  CHECK(gateway.runUntilReceived(client, "late but in time"));
}
