/// \file
/// Graceful shutdown of the server: what is still accepted and answered, and when connections close.
/// Server::startDraining() begins it, closeIdle() closes idle connections, stopAccepting() closes the
/// listening socket, and discardUnread() discards bytes that have arrived.
#include <catch2/catch.hpp>
#include <optional>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

TEST_CASE(
    "During shutdown the gateway reports not ready, closes idle connections and completes requests in "
    "flight") {
  GatewayUnderTest gateway;
  TestPeer idle = gateway.connectClient();
  ForwardedRequest forwarded(gateway);
  TestPeer newcomer = gateway.connectClient();
  gateway.server.startDraining(TimePoint::max());
  newcomer.send(kReadyProbe);
  REQUIRE(gateway.runUntilClosed(newcomer));
  CHECK_THAT(newcomer.receivedBytes,
             Catch::StartsWith("HTTP/1.1 503") && Catch::Contains("Connection: close"));
  CHECK_FALSE(idle.isClosedByRemote());
  gateway.server.closeIdle();
  CHECK(gateway.runUntilClosed(idle));
  CHECK_FALSE(gateway.server.allAnswered());
  forwarded.host->send(okResponse("one"));
  CHECK(gateway.runUntilClosed(forwarded.client));
  CHECK(forwarded.client.hasReceived("one"));
  CHECK(gateway.server.allAnswered());
}

TEST_CASE("During shutdown a request pipelined behind another is answered before its connection closes") {
  const bool readBeforeShutdown =
      GENERATE(true, false);  // otherwise it is still in the kernel's receive buffer
  GatewayUnderTest gateway;
  ForwardedRequest forwarded(gateway,
                             clientRequest("look") + (readBeforeShutdown ? clientRequest("look") : ""));
  gateway.server.startDraining(gateway.clock.currentTime + 3s);
  gateway.server.closeIdle();
  forwarded.host->send(okResponse("one"));
  if (!readBeforeShutdown) forwarded.client.send(clientRequest("look"));
  std::optional<TestPeer> host;
  REQUIRE(gateway.runUntilAccepted(gateway.host, host));
  REQUIRE(gateway.runUntilReceived(*host, kHeadEnd));
  host->send(okResponse("two"));
  REQUIRE(gateway.runUntilClosed(forwarded.client));
  const std::string& received = forwarded.client.receivedBytes;
  CHECK_THAT(received, Catch::Contains("one") && Catch::EndsWith("two"));
  CHECK(received.find("Connection: close") > received.find("one"));
  CHECK_FALSE(forwarded.client.wasReset);
}

TEST_CASE("The listening socket closes only when no connection is waiting, and refuses clients afterwards") {
  GatewayUnderTest gateway;
  gateway.server.startDraining(gateway.clock.currentTime + 3s);
  TestPeer late = gateway.connectClient();
  CHECK_FALSE(gateway.server.stopAccepting());
  late.send(clientRequest("look"));
  std::optional<TestPeer> host;
  REQUIRE(gateway.runUntilAccepted(gateway.host, host));
  CHECK_FALSE(gateway.server.allAnswered());
  host->send(okResponse("one"));
  REQUIRE(gateway.runUntilClosed(late));
  CHECK(late.hasReceived("one"));
  CHECK(gateway.server.stopAccepting());
  TestPeer refused = gateway.connectClient();
  refused.send(kLiveProbe);
  gateway.runPendingEvents();
  CHECK(refused.readAvailable().empty());
}

TEST_CASE("Unread bytes at exit do not reset a connection whose response has been sent") {
  std::optional<GatewayUnderTest> gateway(std::in_place);
  ForwardedRequest forwarded(*gateway);
  forwarded.host->send(okResponse("one"));
  gateway->runPendingEvents();
  forwarded.client.send(clientRequest("look"));  // remains unread in the kernel's receive buffer
  gateway->server.discardUnread();
  gateway.reset();  // closes all sockets, as the exit of the process does
  CHECK(forwarded.client.isClosedByRemote());
  CHECK_FALSE(forwarded.client.wasReset);
  CHECK(forwarded.client.hasReceived("one"));
}

TEST_CASE(
    "Every request is answered by the end of the shutdown, even if a host is silent and deadlines are "
    "later") {
  GatewayUnderTest gateway;
  ForwardedRequest before(gateway, clientRequest("pay", "x", "", 5000));
  gateway.server.startDraining(gateway.clock.currentTime + 2s);
  TestPeer after = gateway.connectClient();
  after.send(clientRequest("pay", "x", "", 5000));
  std::optional<TestPeer> host;
  REQUIRE(gateway.runUntilAccepted(gateway.host, host));
  REQUIRE(gateway.runUntilReceived(*host, "\r\n\r\nx"));
  gateway.advanceClock(1900ms);
  CHECK_FALSE(gateway.server.allAnswered());
  gateway.advanceClock(100ms);
  CHECK(gateway.runUntil([&] { return before.client.isClosedByRemote() && after.isClosedByRemote(); }));
  CHECK(statusOf(before.client) == "HTTP/1.1 502");
  CHECK(statusOf(after) == "HTTP/1.1 502");
  CHECK(gateway.server.allAnswered());
}

TEST_CASE(
    "A request that is incomplete when the time to answer is over is refused and closed in good order") {
  const std::string request = clientRequest("pay", "body", GENERATE("", "Expect: 100-continue\r\n"));
  const std::size_t missing = GENERATE(as<std::size_t>(), 1, 4, 20);
  GatewayUnderTest gateway;
  gateway.server.startDraining(gateway.clock.currentTime + 1s);
  TestPeer client = gateway.connectClient();
  client.send(request.substr(0, request.size() - missing));
  gateway.runPendingEvents();
  gateway.advanceClock(1s);
  gateway.server.refuseIncompleteRequests();
  client.send(request.substr(request.size() - missing));
  REQUIRE(gateway.runUntilClosed(client));
  CHECK_THAT(client.receivedBytes, Catch::Contains("HTTP/1.1 503") && Catch::Contains("Connection: close") &&
                                       Catch::EndsWith("shutting down\n"));
  CHECK_FALSE(client.wasReset);
  std::optional<TestPeer> host;
  CHECK_FALSE(gateway.host.accept(host));
}

TEST_CASE("A pipelined request that has been read is answered though idle connections are closed just then") {
  GatewayUnderTest gateway;
  TestPeer client = gateway.connectClient();
  client.send(kLiveProbe + clientRequest("look"));
  REQUIRE(gateway.stepUntil([&] { return client.hasReceived("live\n"); }));
  gateway.server.startDraining(gateway.clock.currentTime + 3s);
  CHECK_FALSE(gateway.server.allAnswered());
  gateway.server.closeIdle();
  std::optional<TestPeer> host;
  REQUIRE(gateway.runUntilAccepted(gateway.host, host));
  REQUIRE(gateway.runUntilReceived(*host, kHeadEnd));
  host->send(okResponse("one"));
  REQUIRE(gateway.runUntilClosed(client));
  CHECK(client.hasReceived("one"));
}

TEST_CASE("A request that comes after the time to answer is refused, without being asked for its body") {
  const auto request = GENERATE(as<std::string>(), clientRequest("look"), clientRequest("pay", "body"),
                                clientRequest("pay", "", "Expect: 100-continue\r\n"));
  GatewayUnderTest gateway;
  TestPeer client = gateway.connectClient();
  gateway.server.startDraining(gateway.clock.currentTime + 1s);
  gateway.advanceClock(1s);
  client.send(request);
  REQUIRE(gateway.runUntilClosed(client));
  CHECK_THAT(client.receivedBytes, Catch::StartsWith("HTTP/1.1 503") && Catch::EndsWith("shutting down\n"));
  std::optional<TestPeer> host;
  CHECK_FALSE(gateway.host.accept(host));
}

TEST_CASE("Requests that are still unread when shutdown begins are answered, on old and new connections") {
  GatewayUnderTest gateway;
  TestPeer known = gateway.connectClient();
  known.send(kLiveProbe);
  REQUIRE(gateway.runUntilReceived(known, "live"));
  known.receivedBytes.clear();
  TestPeer silent = gateway.connectClient();
  gateway.runPendingEvents();
  gateway.server.startDraining(TimePoint::max());
  TestPeer newcomer = gateway.connectClient();
  known.send(clientRequest("look"));
  newcomer.send(clientRequest("look"));
  gateway.server.closeIdle();
  for (int count = 0; count < 2; ++count) {
    std::optional<TestPeer> host;
    REQUIRE(gateway.runUntilAccepted(gateway.host, host));
    REQUIRE(gateway.runUntilReceived(*host, kHeadEnd));
    host->send(okResponse("one"));
  }
  CHECK(gateway.runUntil(
      [&] { return known.isClosedByRemote() && newcomer.isClosedByRemote() && silent.isClosedByRemote(); }));
  CHECK(known.hasReceived("one"));
  CHECK(newcomer.hasReceived("one"));
  CHECK(gateway.server.allAnswered());
}
