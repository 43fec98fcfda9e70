/// \file
/// The watch of discovery: chunked and split endpoint lists, missing heartbeats, reconnects, move to another
/// address.
#include <catch2/catch.hpp>
#include <string>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr const char* kRejectedStatusLine = "HTTP/1.1 429";
constexpr const char* kHeartbeat = "\n";

}  // namespace

TEST_CASE("A watch without heartbeats is opened again from the generation of the last endpoint list") {
  GatewayUnderTest gateway;
  std::optional<TestPeer> watch;
  std::optional<TestPeer> newWatch;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  REQUIRE(gateway.runUntilReceived(*watch, "watch=1&from=41 "));
  const std::string draining = endpointJson(gateway.host.port, "h1", "terminating");
  const std::string lines = "\n" + endpointListJson(43, draining, "\"reset\":false,") + "\n";
  const std::size_t half = lines.size() / 2;
  watch->send(kChunkedOkHead);
  for (const std::string& part : {lines.substr(0, half), lines.substr(half)}) {
    watch->send(chunkOf(part));
    gateway.runPendingEvents();
  }
  TestPeer client = gateway.connectClient();
  client.send(clientRequest("look"));
  REQUIRE(gateway.runUntilReceived(client, kRejectedStatusLine));  // the only host is draining
  gateway.advanceClock(1900ms);
  watch->send(chunkOf(kHeartbeat));
  gateway.runPendingEvents();
  gateway.advanceClock(1900ms);
  CHECK_FALSE(watch->isClosedByRemote());
  gateway.advanceClock(1s);
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, newWatch));
  CHECK(gateway.runUntilReceived(*newWatch, "watch=1&from=43 "));
  CHECK_THAT(gateway.logText.str(),
             Catch::Contains("warning: discovery_unreachable: discovery unreachable, keeping "
                             "the last endpoint list generation=43"));
}

TEST_CASE("A watch whose response is an error, invalid or ended is closed and opened again") {
  const std::string response =
      GENERATE(as<std::string>(), kUnavailableResponse, "nonsense\r\n\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"a\"}\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  GatewayUnderTest gateway;
  std::optional<TestPeer> watch;
  std::optional<TestPeer> newWatch;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  watch->send(response);
  CHECK(gateway.runUntilClosed(*watch));
  gateway.advanceClock(300ms);
  CHECK(gateway.runUntilAccepted(gateway.discovery, newWatch));
}

TEST_CASE("An endpoint list indented over many lines is applied, whatever the size of its chunks") {
  const std::size_t chunkBytes = GENERATE(1, 2, 7, 64, 4096);
  GatewayUnderTest gateway;
  std::optional<TestPeer> watch;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  watch->send(kChunkedOkHead);
  const std::string list =
      "\n{\n  \"generation\": 43,\n  \"unknown\": {\"a\": [1]},\n  \"instances\": [\n    " +
      endpointJson(gateway.host.port, "h1", "terminating") + "\n  ]\n}\n\n";
  for (std::size_t sentBytes = 0; sentBytes < list.size(); sentBytes += chunkBytes) {
    watch->send(chunkOf(list.substr(sentBytes, chunkBytes)));
    gateway.loop.io.poll();
    gateway.loop.io.restart();
  }
  gateway.runPendingEvents();
  TestPeer client = gateway.connectClient();
  client.send(clientRequest("look"));
  CHECK(gateway.runUntilReceived(client, kRejectedStatusLine));  // the only host is draining
  CHECK_FALSE(watch->isClosedByRemote());
}

TEST_CASE("An endpoint list that stays incomplete times out, even if heartbeats keep arriving") {
  GatewayUnderTest gateway;
  std::optional<TestPeer> watch;
  std::optional<TestPeer> newWatch;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  watch->send("HTTP/1.1 200 OK\r\n\r\n\n{\"generation\":43,\"instances\":[");
  for (int count = 0; count < 4; ++count) {
    gateway.runPendingEvents();
    gateway.advanceClock(800ms);
    watch->send(kHeartbeat);
  }
  CHECK(gateway.runUntilClosed(*watch));
  gateway.advanceClock(1s);
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, newWatch));
  CHECK(gateway.runUntilReceived(*newWatch, "watch=1&from=41 "));
}

TEST_CASE("A watch without heartbeats is opened again soon after each missed heartbeat") {
  GatewayUnderTest gateway;
  std::optional<TestPeer> watch;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  watch->send("HTTP/1.1 200 OK\r\n\r\n\n");
  gateway.runPendingEvents();
  for (int count = 0; count < 6; ++count) {
    gateway.advanceClock(2300ms);  // longer than the heartbeat interval
    REQUIRE(gateway.runUntilClosed(*watch));
    watch.reset();
    gateway.advanceClock(250ms);
    REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
    REQUIRE(gateway.runUntilReceived(*watch, "watch=1&from=41 "));
  }
}

TEST_CASE("Requests to discovery are separated by pauses even if the drain grace is zero") {
  GatewayUnderTest gateway(128, "", "\"rules\":{", "\"rules\":{\"drainGrace\":0,");
  std::size_t connections = 0;
  for (int round = 0; round < 20; ++round) {
    gateway.runPendingEvents();
    for (std::optional<TestPeer> watch; gateway.discovery.accept(watch); ++connections) watch->close();
  }
  CHECK(connections == 1);  // the clock stands still
  gateway.advanceClock(300ms);
  gateway.runPendingEvents();
  std::optional<TestPeer> watch;
  CHECK(gateway.discovery.accept(watch));
}

TEST_CASE(
    "A watch that stalls or is reset anywhere in its response is opened again from its last generation") {
  const std::string list = endpointListJson(43, endpointJson(1, "h9", "in_service")) + "\n";
  const std::string chunk = "20\r\n" + list.substr(0, 32);
  const std::string chunkedHead = kChunkedOkHead;
  const std::string bytesBeforeStall = GENERATE_COPY(
      as<std::string>(), "", "HTTP/1.1 2", kOkHead, chunkedHead, chunkedHead + "2",
      chunkedHead + chunk.substr(0, 20), chunkedHead + chunk + "\r\n", kOkHead + list.substr(0, 60));
  const bool resets = GENERATE(true, false);
  GatewayUnderTest gateway;
  std::optional<TestPeer> watch;
  std::optional<TestPeer> secondWatch;
  std::optional<TestPeer> thirdWatch;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  REQUIRE(gateway.runUntilReceived(*watch, "from=41 "));
  if (!bytesBeforeStall.empty()) watch->send(bytesBeforeStall);
  gateway.runPendingEvents();
  if (resets) watch->closeWithReset();
  if (!resets) {
    gateway.advanceClock(2300ms);
    REQUIRE(gateway.runUntilClosed(*watch));
  }
  gateway.advanceClock(200ms);  // in all well within the 6 s by which a change must be applied
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, secondWatch));
  REQUIRE(gateway.runUntilReceived(*secondWatch, "from=41 "));
  secondWatch->send(kOkHead + list);
  gateway.runPendingEvents();
  gateway.server.setAddresses(gateway.discovery.address(), gateway.counter.address());  // the same addresses
  gateway.runPendingEvents();
  CHECK_FALSE(secondWatch->isClosedByRemote());
  secondWatch->closeWithReset();
  gateway.advanceClock(400ms);
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, thirdWatch));
  CHECK(gateway.runUntilReceived(*thirdWatch, "from=43 "));
}

TEST_CASE("After a move of discovery, the new address is watched from the last applied generation") {
  enum class MovedDuring { incompleteList, pauseBeforeReconnect, unreadList };
  const auto movedDuring =
      GENERATE(MovedDuring::incompleteList, MovedDuring::pauseBeforeReconnect, MovedDuring::unreadList);
  GatewayUnderTest gateway;
  PeerListener newDiscovery;
  std::optional<TestPeer> watch;
  std::optional<TestPeer> newWatch;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  if (movedDuring == MovedDuring::incompleteList)
    watch->send("HTTP/1.1 200 OK\r\n\r\n{\"generation\":44,\"instances\":[");
  if (movedDuring == MovedDuring::pauseBeforeReconnect) watch->close();
  gateway.runPendingEvents();
  if (movedDuring == MovedDuring::unreadList) watch->send(kOkHead + endpointListJson(44, "") + "\n");
  gateway.server.setAddresses(newDiscovery.address(), gateway.counter.address());
  gateway.loop.endTurn();
  REQUIRE(gateway.runUntilAccepted(newDiscovery, newWatch));
  CHECK(gateway.runUntilReceived(*newWatch, "watch=1&from=41 "));
  gateway.advanceClock(1s);
  gateway.runPendingEvents();
  std::optional<TestPeer> oldAddress;
  CHECK_FALSE(gateway.discovery.accept(oldAddress));
}
