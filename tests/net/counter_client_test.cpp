/// \file
/// The client of the counter service: pipelining, lost calls, unreachable service, move to another address.
#include <catch2/catch.hpp>
#include <stdexcept>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

TEST_CASE("Calls to the counter service share a connection, and an unresponsive connection is replaced") {
  GatewayUnderTest gateway;
  TestPeer client = gateway.connectClient();
  client.send(meteredRequest(1));
  std::optional<TestPeer> first;
  REQUIRE(gateway.runUntilAccepted(gateway.counter, first));
  REQUIRE(gateway.runUntilReceived(*first, "POST /tally/u1."));
  CHECK_THAT(first->receivedBytes,
             Catch::Contains("?n=0&keep_ms=30000") || Catch::Contains("?n=1&keep_ms=30000"));
  for (int customer = 2; customer < 6; ++customer) {
    TestPeer otherClient = gateway.connectClient();
    otherClient.send(meteredRequest(customer));
    gateway.runPendingEvents();
  }
  CHECK_FALSE(first->isClosedByRemote());
  gateway.advanceClock(1s);  // no response comes
  CHECK(gateway.runUntilClosed(*first));
  std::optional<TestPeer> second;
  std::optional<TestPeer> third;
  REQUIRE(gateway.runUntil(
      [&] { return gateway.counter.accept(second) || (second && gateway.counter.accept(third)); }));
}

// A byte now and then kept a connection in use on which every call timed out.
TEST_CASE("A counter connection whose response never ends is replaced, even if its bytes keep arriving") {
  GatewayUnderTest gateway;
  TestPeer client = gateway.connectClient();
  client.send(meteredRequest(1));
  std::optional<TestPeer> stuck;
  std::optional<TestPeer> next;
  REQUIRE(gateway.runUntilAccepted(gateway.counter, stuck));
  REQUIRE(gateway.runUntilReceived(*stuck, "POST /tally/u1."));
  stuck->send("HTTP/1.1 200 OK\r\nX: ");
  for (int step = 0; step < 40 && !stuck->isClosedByRemote(); ++step) {
    stuck->send("x");
    TestPeer other = gateway.connectClient();
    other.send(meteredRequest(step % 10));
    gateway.runPendingEvents();
    gateway.advanceClock(50ms);
  }
  CHECK(stuck->isClosedByRemote());
  CHECK(gateway.runUntilAccepted(gateway.counter, next));
  CHECK(gateway.runUntilReceived(*next, "POST /tally/u"));
}

TEST_CASE("An unreachable counter service is retried, and the log says that it is unreachable") {
  GatewayUnderTest gateway;
  gateway.counter.close();
  const std::string message = replaceOnce(clientRequest("look"), "Plan: free", "Plan: metered");
  for (int count = 0; count < 5; ++count) {
    TestPeer client = gateway.connectClient();
    client.send(message);
    gateway.runPendingEvents();
    gateway.advanceClock(1s);
  }
  CHECK_THAT(gateway.logText.str(), Catch::Contains("info: counter_unreachable: "));
}

TEST_CASE("Units of a counter call whose connection ends are sent again") {
  enum class ConnectionEnd { closeAfterCall, resetAfterCall, closeBeforeNextRequest, closeAfterNextRequest };
  const auto end = GENERATE(ConnectionEnd::closeAfterCall, ConnectionEnd::resetAfterCall,
                            ConnectionEnd::closeBeforeNextRequest, ConnectionEnd::closeAfterNextRequest);
  constexpr int kMaxRounds = 40;
  GatewayUnderTest gateway;
  std::optional<TestPeer> counter;
  std::optional<TestPeer> newCounter;
  std::optional<TestPeer> host;
  TestPeer client = gateway.connectClient();
  client.send(meteredRequest(1));
  REQUIRE(gateway.runUntilAccepted(gateway.counter, counter));
  REQUIRE(gateway.runUntilReceived(*counter, "POST /tally/u1."));
  REQUIRE(gateway.runUntilAccepted(gateway.host, host));
  REQUIRE(gateway.runUntilReceived(*host, kHeadEnd));
  host->send(okResponse("one"));
  REQUIRE(gateway.runUntilReceived(client, "one"));
  if (end == ConnectionEnd::closeAfterCall) counter->close();
  if (end == ConnectionEnd::resetAfterCall) counter->closeWithReset();
  if (end == ConnectionEnd::closeBeforeNextRequest || end == ConnectionEnd::closeAfterNextRequest) {
    counter->send(okResponse("1"));
    gateway.runPendingEvents();
    gateway.advanceClock(200ms);
    client.receivedBytes.clear();
    if (end == ConnectionEnd::closeBeforeNextRequest) counter->close();
    client.send(meteredRequest(1));
    if (end == ConnectionEnd::closeAfterNextRequest) counter->close();
    REQUIRE(gateway.runUntil([&] {
      host->readAvailable();
      return gateway.host.accept(host) || host->receivedBytes.rfind("GET ") > 0;
    }));
    host->send(okResponse("two"));
    REQUIRE(gateway.runUntilReceived(client, "two"));
  }
  for (int round = 0; round < kMaxRounds && !gateway.counter.accept(newCounter); ++round) {
    gateway.advanceClock(20ms);
    gateway.runPendingEvents();
  }
  REQUIRE(newCounter);
  REQUIRE(gateway.runUntilReceived(*newCounter, "POST /tally/u1."));
  const std::string& received = newCounter->receivedBytes;
  const std::string units = received.substr(received.find("?n=") + 3);
  CHECK(std::stod(units) >= 1);  // units may be added twice, never lost
}

TEST_CASE(
    "After a move of the counter service, calls in flight end at the old address and new ones go to the "
    "new") {
  GatewayUnderTest gateway;
  PeerListener newCounter;
  TestPeer client = gateway.connectClient();
  client.send(meteredRequest(1));
  std::optional<TestPeer> oldConnection;
  std::optional<TestPeer> newConnection;
  REQUIRE(gateway.runUntilAccepted(gateway.counter, oldConnection));
  REQUIRE(gateway.runUntilReceived(*oldConnection, "POST /tally/u1."));
  gateway.server.setAddresses(gateway.discovery.address(), newCounter.address());
  gateway.loop.endTurn();
  gateway.runPendingEvents();
  CHECK_FALSE(oldConnection->isClosedByRemote());
  oldConnection->send(okResponse("4"));
  CHECK(gateway.runUntilClosed(*oldConnection));
  gateway.advanceClock(1s);
  TestPeer otherClient = gateway.connectClient();
  otherClient.send(meteredRequest(2));
  REQUIRE(gateway.runUntilAccepted(newCounter, newConnection));
  CHECK(gateway.runUntilReceived(*newConnection, "POST /tally/u2."));
  CHECK_THROWS_AS(gateway.server.setAddresses(newCounter.address(), "nowhere"), std::invalid_argument);
  CHECK_THROWS_AS(gateway.server.setAddresses("nowhere", gateway.counter.address()), std::invalid_argument);
  CHECK_FALSE(newConnection->isClosedByRemote());
}

TEST_CASE("After a move while nothing responds, no connection stays open at the old addresses") {
  GatewayUnderTest gateway;
  PeerListener newDiscovery;
  PeerListener newCounter;
  TestPeer client = gateway.connectClient();
  client.send(meteredRequest(1));
  std::optional<TestPeer> oldWatch;
  std::optional<TestPeer> oldCounter;
  std::optional<TestPeer> newWatch;
  REQUIRE(gateway.runUntilAccepted(gateway.counter, oldCounter));
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, oldWatch));
  gateway.discovery.close();
  oldWatch->close();
  gateway.runPendingEvents();
  gateway.server.setAddresses(newDiscovery.address(), newCounter.address());
  gateway.server.setAddresses(newDiscovery.address(), newCounter.address());
  gateway.loop.endTurn();
  REQUIRE(gateway.runUntilAccepted(newDiscovery, newWatch));
  std::optional<TestPeer> secondWatch;
  gateway.runPendingEvents();
  CHECK_FALSE(newDiscovery.accept(secondWatch));
  gateway.advanceClock(1100ms);
  CHECK(gateway.runUntilClosed(*oldCounter));
}

TEST_CASE(
    "Counter totals and host reports that are not finite numbers do not stop the gateway from answering") {
  GatewayUnderTest gateway;
  TestPeer client = gateway.connectClient();
  for (const char* total : {"nan", "inf", "-inf", "1e999", "x", ""}) {
    client.receivedBytes.clear();
    client.send(meteredRequest(1));
    std::optional<TestPeer> host;
    std::optional<TestPeer> counter;
    REQUIRE(gateway.runUntil([&] {
      return gateway.counter.accept(counter) || gateway.host.accept(host) || client.hasReceived("429");
    }));
    gateway.runPendingEvents();
    if (!counter) gateway.counter.accept(counter);
    if (!host) gateway.host.accept(host);
    if (counter) counter->send(okResponse(total));
    if (host) host->send(okResponse("one", "Billed-Units: inf\r\nSrv-Load: inflight=nan,qps=inf\r\n"));
    gateway.runPendingEvents();
    gateway.advanceClock(1s);
  }
  client.receivedBytes.clear();
  client.send(meteredRequest(2));
  std::optional<TestPeer> host;
  REQUIRE(gateway.runUntil([&] { return gateway.host.accept(host) || client.hasReceived("HTTP/1.1"); }));
}
