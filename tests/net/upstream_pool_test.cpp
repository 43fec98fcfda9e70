/// \file
/// The pool of connections to hosts: reuse, idle timeout, connections that are no longer usable, connects in
/// progress.
#include <catch2/catch.hpp>
#include <vector>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

TEST_CASE("An idle connection to a host is reused for the next request and closed before its idle timeout") {
  GatewayUnderTest gateway;
  ForwardedRequest forwarded(gateway);
  for (int round = 0; round < 3; ++round) {
    forwarded.host->send(okResponse("one"));
    REQUIRE(gateway.runUntilReceived(forwarded.client, "one"));
    gateway.advanceClock(20ms);
    forwarded.client.receivedBytes.clear();
    forwarded.host->receivedBytes.clear();
    forwarded.client.send(clientRequest("look"));
    REQUIRE(gateway.runUntilReceived(*forwarded.host, kHeadEnd));
  }
  forwarded.host->send(okResponse("last"));
  gateway.runPendingEvents();
  gateway.advanceClock(29s);  // the host's idle timeout is 30 s
  CHECK(gateway.runUntilClosed(*forwarded.host));
}

TEST_CASE("A connection in use when its host's restart is announced carries no further request") {
  GatewayUnderTest gateway;
  std::optional<TestPeer> watch;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  ForwardedRequest forwarded(gateway);
  const std::string restarted = replaceOnce(endpointJson(gateway.host.port, "h1", "in_service"),
                                            "\"startedAtMs\":0", "\"startedAtMs\":1");
  watch->send(kOkHead + endpointListJson(42, restarted) + "\n");
  gateway.runPendingEvents();
  forwarded.host->send(okResponse("one"));
  REQUIRE(gateway.runUntilReceived(forwarded.client, "one"));
  CHECK(gateway.runUntilClosed(*forwarded.host));
  gateway.advanceClock(20ms);
  forwarded.client.send(clientRequest("look"));
  std::optional<TestPeer> newProcess;
  CHECK(gateway.runUntilAccepted(gateway.host, newProcess));
}

TEST_CASE("A request that waits for a connection is not written to a host whose restart was announced") {
  UnreachableListener oldProcess;
  const std::string entry = endpointJson(oldProcess.port, "h1", "in_service");
  GatewayUnderTest gateway(128, entry);
  std::optional<TestPeer> watch;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  TestPeer client = gateway.connectClient();
  client.send(clientRequest("look"));
  gateway.runPendingEvents();
  CHECK(gateway.server.unanswered() == 1);
  watch->send(kOkHead + endpointListJson(42, replaceOnce(entry, "\"startedAtMs\":0", "\"startedAtMs\":1")) +
              "\n");
  CHECK(gateway.runUntilReceived(client, "HTTP/1.1 429"));
}

TEST_CASE(
    "A duplicate response that arrives after the next request is not taken for that request's response") {
  GatewayUnderTest gateway;
  ForwardedRequest forwarded(gateway);
  forwarded.host->send(okResponse("one"));
  REQUIRE(gateway.runUntilReceived(forwarded.client, "one"));
  forwarded.client.receivedBytes.clear();
  forwarded.client.send(clientRequest("look"));
  std::optional<TestPeer> secondConnection;
  constexpr std::size_t kTwoRequestsBytes = 400;
  REQUIRE(gateway.runUntil([&] {
    forwarded.host->readAvailable();
    return gateway.host.accept(secondConnection) || forwarded.host->receivedBytes.size() > kTwoRequestsBytes;
  }));
  gateway.advanceClock(3ms);
  forwarded.host->send(okResponse("one"));
  gateway.runPendingEvents();
  CHECK_FALSE(forwarded.client.hasReceived("one"));
  REQUIRE(secondConnection);
  REQUIRE(gateway.runUntilReceived(*secondConnection, kHeadEnd));
  secondConnection->send(okResponse("two"));
  CHECK(gateway.runUntilReceived(forwarded.client, "two"));
  CHECK(forwarded.host->isClosedByRemote());
}

TEST_CASE(
    "An idle connection that closes or receives unsolicited bytes in the turn of its reuse is not used") {
  const bool unsolicitedBytes = GENERATE(true, false);
  const bool hostFirst = GENERATE(true, false);
  GatewayUnderTest gateway;
  ForwardedRequest forwarded(gateway, clientRequest("pay", "x"));
  forwarded.host->send(okResponse("one"));
  REQUIRE(gateway.runUntilReceived(forwarded.client, "one"));
  gateway.advanceClock(20ms);
  forwarded.client.receivedBytes.clear();
  const auto disruptConnection = [&] {
    unsolicitedBytes ? forwarded.host->send("x") : forwarded.host->close();
  };
  if (hostFirst) disruptConnection();
  forwarded.client.send(clientRequest("pay", "y"));
  if (!hostFirst) disruptConnection();
  std::optional<TestPeer> newConnection;
  REQUIRE(gateway.runUntilAccepted(gateway.host, newConnection));
  REQUIRE(gateway.runUntilReceived(*newConnection, "\r\n\r\ny"));
  newConnection->send(okResponse("two"));
  CHECK(gateway.runUntilReceived(forwarded.client, "two"));
}

TEST_CASE("An idle connection that was closed or received unsolicited bytes earlier is not used") {
  const bool unsolicitedBytes = GENERATE(true, false);
  GatewayUnderTest gateway;
  ForwardedRequest forwarded(gateway);
  forwarded.host->send(okResponse("one"));
  REQUIRE(gateway.runUntilReceived(forwarded.client, "one"));
  unsolicitedBytes ? forwarded.host->send(okResponse("two")) : forwarded.host->close();
  gateway.runPendingEvents();
  forwarded.client.receivedBytes.clear();
  forwarded.client.send(clientRequest("look"));
  std::optional<TestPeer> newConnection;
  REQUIRE(gateway.runUntilAccepted(gateway.host, newConnection));
  REQUIRE(gateway.runUntilReceived(*newConnection, kHeadEnd));
  newConnection->send(okResponse("three"));
  CHECK(gateway.runUntilReceived(forwarded.client, "three"));
}

TEST_CASE("Attempts that are still connecting are dropped when their clients close, one client or many") {
  const std::size_t clientCount = GENERATE(1, 300);
  UnreachableListener host;
  GatewayUnderTest gateway(1024, endpointJson(host.port, "h1", "in_service"));
  gateway.runPendingEvents();
  std::vector<TestPeer> clients;
  for (std::size_t count = 0; count < clientCount; ++count) clients.push_back(gateway.connectClient());
  gateway.runPendingEvents();
  const std::size_t descriptorsBefore = openDescriptorCount();
  for (TestPeer& client : clients) client.send(clientRequest("look"));
  REQUIRE(gateway.runUntil([&] { return openDescriptorCount() > descriptorsBefore; }));
  gateway.runPendingEvents();
  for (TestPeer& client : clients) client.close();
  gateway.runPendingEvents();
  // Both ends of each client connection are closed, and no connect is in progress.
  CHECK(openDescriptorCount() == descriptorsBefore - 2 * clientCount);
  CHECK(gateway.server.unanswered() == 0);
}

TEST_CASE("A retry of a deduplicated request is not written if its connection comes up after the window") {
  UnreachableListener unreachable;
  PeerListener otherHost;
  // The connection comes up in the turn in which the deduplication window ends, or never.
  const bool connects = GENERATE(true, false);
  const std::uint16_t secondPort = connects ? otherHost.port : unreachable.port;
  GatewayUnderTest gateway(128, "");
  std::optional<TestPeer> watch;
  std::optional<TestPeer> retry;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  ForwardedRequest forwarded(gateway, clientRequest("save", "x", "Idempotency-Key: k\r\n"));
  watch->send(kOkHead + endpointListJson(42, endpointJson(secondPort, "h2", "in_service")) + "\n");
  gateway.runPendingEvents();
  gateway.clock.currentTime += 100ms;
  const std::size_t descriptorsBefore = openDescriptorCount();
  forwarded.host->send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(gateway.stepUntil(
      [&] { return connects ? otherHost.accept(retry) : openDescriptorCount() > descriptorsBefore; }));
  // 160 ms after the first attempt. Hosts recognize a repeated idempotency key for 150 ms.
  gateway.clock.currentTime += 60ms;
  if (!connects) gateway.advanceClock(10ms);
  REQUIRE(gateway.runUntilReceived(forwarded.client, kHeadEnd));
  CHECK(statusOf(forwarded.client) == "HTTP/1.1 429");
  gateway.runPendingEvents();
  if (connects) CHECK((retry->readAvailable().empty() && retry->remoteClosed));
  CHECK(openDescriptorCount() <= descriptorsBefore + connects);
}
