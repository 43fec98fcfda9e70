/// \file
/// Admission of clients at the connection limit: which idle connection or incomplete request is evicted, and
/// when.
#include <catch2/catch.hpp>
#include <vector>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr std::size_t kReservedSockets = 32;
constexpr std::size_t kSocketsForTwoClients = kReservedSockets + 2 * 2;   // with two connections to hosts
constexpr std::size_t kSocketsForFourClients = kReservedSockets + 2 * 4;  // with four connections to hosts

/// Longer than an evicted connection may stay open: an eighth of the longest deadline.
constexpr Duration kCloseGrace = 260ms;

}  // namespace

TEST_CASE(
    "At the connection limit the longest idle client is evicted, and accepting pauses if none is idle") {
  GatewayUnderTest gateway(kSocketsForTwoClients);
  TestPeer clientA = gateway.connectClient();
  TestPeer clientB = gateway.connectClient();
  clientA.send(kLiveProbe);
  REQUIRE(gateway.runUntilReceived(clientA, "live"));
  clientA.send(clientRequest("look"));
  clientB.send(clientRequest("look"));
  std::optional<TestPeer> hostConnection1;
  std::optional<TestPeer> hostConnection2;
  REQUIRE(gateway.runUntilAccepted(gateway.host, hostConnection1));
  REQUIRE(gateway.runUntilAccepted(gateway.host, hostConnection2));
  TestPeer clientC = gateway.connectClient();
  clientC.send(kLiveProbe);
  gateway.runPendingEvents();
  CHECK(clientC.readAvailable().empty());
  REQUIRE(gateway.runUntilReceived(*hostConnection1, kHeadEnd));
  hostConnection1->send(okResponse("one"));
  hostConnection2->send(okResponse("two"));
  gateway.runPendingEvents();
  TestPeer& leaving = clientA.hasReceived("one") ? clientA : clientB;
  TestPeer& staying = &leaving == &clientA ? clientB : clientA;
  leaving.close();
  CHECK(gateway.runUntilReceived(clientC, "live"));
  TestPeer newcomer = gateway.connectClient();
  newcomer.send(kLiveProbe);
  const bool closes = GENERATE(true, false);
  REQUIRE(gateway.runUntil([&] { return staying.isClosedByRemote() || clientC.isClosedByRemote(); }));
  CHECK_FALSE((clientA.wasReset || clientB.wasReset || clientC.wasReset));
  for (TestPeer* const idle : {&staying, &clientC})
    if (closes && idle->remoteClosed) idle->close();
  if (!closes) gateway.advanceClock(kCloseGrace);
  CHECK(gateway.runUntilReceived(newcomer, "live"));
}

TEST_CASE(
    "A client that connects while requests occupy all slots gets one once they are answered, even if no "
    "client disconnects") {
  GatewayUnderTest gateway(kSocketsForTwoClients);
  ForwardedRequest first(gateway);
  ForwardedRequest second(gateway);
  TestPeer newcomer = gateway.connectClient();
  newcomer.send(kLiveProbe);
  gateway.runPendingEvents();
  CHECK(newcomer.readAvailable().empty());
  first.host->send(okResponse("one"));
  second.host->send(okResponse("two"));
  gateway.runPendingEvents();
  gateway.advanceClock(kCloseGrace);
  CHECK(gateway.runUntilReceived(newcomer, "live"));
  CHECK((first.client.isClosedByRemote() || second.client.isClosedByRemote()));
  CHECK_FALSE((first.client.wasReset || second.client.wasReset));
  CHECK(first.client.hasReceived("one"));
  CHECK(second.client.hasReceived("two"));
}

TEST_CASE(
    "A request that has arrived on an idle connection is served even if the connection is to be closed") {
  const bool evicting = GENERATE(true, false);  // otherwise the gateway shuts down
  GatewayUnderTest gateway(kSocketsForTwoClients);
  TestPeer clientA = gateway.connectClient();
  TestPeer clientB = gateway.connectClient();
  for (TestPeer* const client : {&clientA, &clientB}) {
    client->send(kLiveProbe);
    REQUIRE(gateway.runUntilReceived(*client, "live"));
    client->receivedBytes.clear();
  }
  // The gateway reads none of the following before it decides to close the connections.
  std::optional<TestPeer> newcomer;
  if (evicting) newcomer.emplace(gateway.connectClient());
  clientA.send(clientRequest("look"));
  clientB.send(clientRequest("look"));
  if (!evicting) {
    gateway.server.startDraining(gateway.clock.currentTime + 3s);
    gateway.server.closeIdle();
  }
  std::vector<TestPeer> hosts;
  REQUIRE(gateway.runUntil([&] {
    std::optional<TestPeer> host;
    if (gateway.host.accept(host)) hosts.push_back(std::move(*host));
    return hosts.size() == 2;
  }));
  for (TestPeer& host : hosts) {
    REQUIRE(gateway.runUntilReceived(host, kHeadEnd));
    host.send(okResponse("one"));
  }
  CHECK(gateway.runUntil([&] { return clientA.hasReceived("one") && clientB.hasReceived("one"); }));
  CHECK_FALSE((clientA.wasReset || clientB.wasReset));
}

TEST_CASE("Incomplete requests that occupy all slots are evicted for waiting clients, the oldest first") {
  GatewayUnderTest gateway(kSocketsForFourClients);
  std::vector<TestPeer> incomplete;
  for (int count = 0; count < 4; ++count) {
    incomplete.push_back(gateway.connectClient());
    incomplete.back().send(kIncompleteRequest);
  }
  gateway.runPendingEvents();
  gateway.advanceClock(900ms);
  TestPeer lateIncomplete = gateway.connectClient();
  lateIncomplete.send(kIncompleteRequest);
  TestPeer probing = gateway.connectClient();
  probing.send(kLiveProbe);
  gateway.runPendingEvents();
  CHECK_FALSE(incomplete[0].isClosedByRemote());  // the rest may still arrive in time
  gateway.advanceClock(600ms);
  CHECK(gateway.runUntilClosed(incomplete[0]));
  CHECK(statusOf(incomplete[0]) == "HTTP/1.1 408");
  for (TestPeer& client : incomplete) client.close();
  CHECK(gateway.runUntilReceived(probing, "live"));
  gateway.advanceClock(2100ms);  // 2.6 s after lateIncomplete connected
  CHECK(gateway.runUntilClosed(lateIncomplete));
  CHECK(statusOf(lateIncomplete) == "HTTP/1.1 408");
}

namespace {

constexpr Duration kPieceInterval = 100ms;  // shorter than the pause after which a client counts as stalled

// Opens as many connections as `gateway` may have, each with an incomplete request.
std::vector<TestPeer> fillWithIncompleteRequests(GatewayUnderTest& gateway) {
  std::vector<TestPeer> incomplete;
  for (int count = 0; count < 4; ++count) {
    incomplete.push_back(gateway.connectClient());
    incomplete.back().send(kIncompleteRequest);
  }
  gateway.runPendingEvents();
  return incomplete;
}

}  // namespace

// Guards against usual requests that wait for clients which stop in the middle of a request: a quarter of the
// longest deadline of 2 s is over at 500 ms.
TEST_CASE("Stalled requests give way once a client has waited for a quarter of its time") {
  GatewayUnderTest gateway(kSocketsForFourClients);
  std::vector<TestPeer> incomplete = fillWithIncompleteRequests(gateway);
  TestPeer first = gateway.connectClient();
  TestPeer second = gateway.connectClient();
  for (TestPeer* const waiting : {&first, &second}) waiting->send(kLiveProbe);
  gateway.runPendingEvents();
  gateway.advanceClock(480ms);
  CHECK(gateway.logText.str().find("clients_overdue") == std::string::npos);
  for (TestPeer& client : incomplete) CHECK_FALSE(client.isClosedByRemote());
  gateway.advanceClock(100ms);
  // The stalled clients have not closed their side.
  CHECK(gateway.runUntil([&] {
    gateway.advanceClock(10ms);
    return first.hasReceived("live") && second.hasReceived("live");
  }));
  CHECK(statusOf(incomplete[0]) == "HTTP/1.1 408");
  CHECK_FALSE(incomplete[0].wasReset);
  CHECK_FALSE(incomplete[3].isClosedByRemote());  // no more than were needed
  CHECK(gateway.logText.str().find("clients_overdue") != std::string::npos);
}

TEST_CASE("A client that sends its request in pieces keeps its place while stalled ones give way") {
  GatewayUnderTest gateway(kSocketsForFourClients);
  const std::string request = clientRequest("none");
  std::vector<TestPeer> incomplete = fillWithIncompleteRequests(gateway);
  incomplete[0].close();
  gateway.runPendingEvents();
  TestPeer slow = gateway.connectClient();
  std::size_t sent = 0;
  const auto sendPiece = [&] { slow.send(std::string_view(request).substr(sent++, 1)); };
  sendPiece();
  gateway.runPendingEvents();
  std::vector<TestPeer> waiting;
  for (int count = 0; count < 3; ++count) {
    waiting.push_back(gateway.connectClient());
    waiting.back().send(kIncompleteRequest);
  }
  gateway.clock.timeUnread = 500ms;  // what those that are accepted have waited
  for (int piece = 0; piece < 9; ++piece) {
    sendPiece();
    gateway.advanceClock(kPieceInterval);
  }
  for (std::size_t index = 1; index < incomplete.size(); ++index)
    CHECK(statusOf(incomplete[index]) == "HTTP/1.1 408");
  CHECK_FALSE(slow.isClosedByRemote());
  slow.send(std::string_view(request).substr(sent));
  CHECK(gateway.runUntilReceived(slow, "Req-Kind is not known"));
}

// Guards against a host that works for a client which has given up, and is told time that the client has not.
TEST_CASE("The time that a request has waited to be read is taken off its deadline") {
  constexpr int kDeadlineMs = 900;
  constexpr int kWaitedMs = 300;
  GatewayUnderTest gateway;
  gateway.clock.timeUnread = std::chrono::milliseconds(kWaitedMs);
  const ForwardedRequest forwarded(gateway, clientRequest("look", "", "", kDeadlineMs));
  const std::string& received = forwarded.host->receivedBytes;
  const std::string field = "Req-Deadline-Ms: ";
  REQUIRE(received.find(field) != std::string::npos);
  const int told = std::stoi(received.substr(received.find(field) + field.size()));
  CHECK(told <= kDeadlineMs - kWaitedMs);
  CHECK(told > kDeadlineMs - kWaitedMs - 100);
}

TEST_CASE("A request whose time was over before its turn came is refused and reaches no host") {
  GatewayUnderTest gateway;
  gateway.clock.timeUnread = 901ms;
  TestPeer client = gateway.connectClient();
  client.send(clientRequest("pay", "x", "", 900));
  REQUIRE(gateway.runUntilReceived(client, kHeadEnd));
  CHECK(statusOf(client) == "HTTP/1.1 503");
  std::optional<TestPeer> host;
  gateway.runPendingEvents();
  CHECK_FALSE(gateway.host.accept(host));
}

// Guards against requests sent at once that each get their whole time anew as their turn comes.
TEST_CASE("Requests that wait behind others on their connection get no time anew") {
  GatewayUnderTest gateway;
  const std::string request = clientRequest("look", "", "", 900);
  ForwardedRequest first(gateway,
                         request + clientRequest("look", "", "", 900) + clientRequest("look", "", "", 90));
  gateway.advanceClock(100ms);
  first.host->send(okResponse("one"));
  std::optional<TestPeer> second;
  REQUIRE(gateway.runUntilAccepted(gateway.host, second));
  REQUIRE(gateway.runUntilReceived(*second, kHeadEnd));
  const std::string field = "Req-Deadline-Ms: ";
  const std::string& received = second->receivedBytes;
  CHECK(std::stoi(received.substr(received.find(field) + field.size())) <= 800);
  second->send(okResponse("two"));
  CHECK(gateway.runUntilReceived(first.client, "time was over"));
}
