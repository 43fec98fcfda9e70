/// \file
/// Forwarding of a request to a host, and what the client receives for the host's response or for a missing
/// one.
#include <catch2/catch.hpp>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

TEST_CASE("A request and its response pass through the gateway unchanged, except for the deadline field") {
  GatewayUnderTest gateway;
  const std::string body(60'000, 'q');
  const std::string request = clientRequest("save", body, "Idempotency-Key: k1\r\nContent-Type: t/x\r\n");
  ForwardedRequest forwarded(gateway, withRequestId(request, "00ff"));
  const std::string received = forwarded.host->receivedBytes;
  CHECK_THAT(received, Catch::StartsWith("POST /save/a?b=c HTTP/1.1\r\n"));
  for (const char* field : {"Req-Id: 00000000000000ff\r\n", "Idempotency-Key: k1\r\n",
                            "Content-Type: t/x\r\n", "Content-Length: 60000\r\n", "Req-Deadline-Ms: 884\r\n"})
    CHECK_THAT(received, Catch::Contains(field));
  CHECK_THAT(received, Catch::EndsWith(kHeadEnd + body));
  forwarded.host->send(okResponse(std::string("a\0b", 3) + body));
  REQUIRE(gateway.runUntilReceived(forwarded.client, std::string("\r\n\r\na\0b", 7) + body));
  CHECK(statusOf(forwarded.client) == "HTTP/1.1 200");
}

TEST_CASE("A non-idempotent request is rejected if its host certainly did not run it, and fails otherwise") {
  // Status 429 invites the client to send the request again, 502 does not.
  const auto [response, closes, status] = GENERATE(table<std::string, bool, std::string>({
      {kDeclinedResponse, false, "429"},
      {"HTTP/1.1 504 x\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", false, "429"},
      {kUnavailableResponse, false, "502"},
      {"HTTP/1.1 500 x\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", false, "502"},
      {"HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n", false, "502"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", true, "502"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, "502"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", false, "502"},
      {"", true, "502"},
      {"", false, "502"},  // no response until the deadline
  }));
  GatewayUnderTest gateway;
  ForwardedRequest forwarded(gateway, clientRequest("pay", "x"));
  if (!response.empty()) forwarded.host->send(response);
  if (closes) forwarded.host->close();
  gateway.runPendingEvents();
  gateway.advanceClock(890ms);
  REQUIRE(gateway.runUntilReceived(forwarded.client, kHeadEnd));
  CHECK(statusOf(forwarded.client) == "HTTP/1.1 " + status);
  std::optional<TestPeer> retry;
  CHECK_FALSE(gateway.host.accept(retry));
  if (!closes && response.empty()) CHECK(gateway.runUntilClosed(*forwarded.host));
}

TEST_CASE("A refused connection counts as a request that was not run") {
  GatewayUnderTest gateway;
  gateway.host.close();
  TestPeer client = gateway.connectClient();
  client.send(clientRequest("pay", "x"));
  REQUIRE(gateway.runUntilReceived(client, kHeadEnd));
  CHECK(statusOf(client) == "HTTP/1.1 429");
}

TEST_CASE("A response without a length is complete when its connection closes") {
  GatewayUnderTest gateway;
  ForwardedRequest forwarded(gateway);
  forwarded.host->send(std::string(kOkHead) + "to the end");
  forwarded.host->close();
  CHECK(gateway.runUntilReceived(forwarded.client, "to the end"));
}

TEST_CASE("A response without a length whose connection is reset is incomplete, in the same turn or later") {
  const bool sameTurn = GENERATE(true, false);
  GatewayUnderTest gateway;
  ForwardedRequest forwarded(gateway, clientRequest("pay", "x"));
  forwarded.host->send(std::string(kOkHead) + "to the e");
  if (!sameTurn) gateway.runPendingEvents();
  forwarded.host->closeWithReset();
  REQUIRE(gateway.runUntilReceived(forwarded.client, kHeadEnd));
  CHECK(statusOf(forwarded.client) == "HTTP/1.1 502");
  CHECK_FALSE(forwarded.client.hasReceived("to the e"));
}

TEST_CASE("Bytes after a response close its connection and leave the response valid") {
  GatewayUnderTest gateway;
  ForwardedRequest forwarded(gateway);
  forwarded.host->send(okResponse("one") + "HTTP/1.1 200");
  CHECK(gateway.runUntilReceived(forwarded.client, "one"));
  CHECK(gateway.runUntilClosed(*forwarded.host));
}

TEST_CASE("Pipelined bytes of a client do not damage the retry of its earlier request") {
  constexpr std::size_t kBodyBytes = 1'500;
  constexpr std::size_t kPipelinedBytes = 9'000;  // makes the read buffer grow and move
  PeerListener otherHost;
  GatewayUnderTest gateway(128, "");
  std::optional<TestPeer> watch;
  std::optional<TestPeer> first;
  std::optional<TestPeer> second;
  const auto acceptAtEitherHost = [&](std::optional<TestPeer>& connection) {
    return gateway.runUntil([&] { return gateway.host.accept(connection) || otherHost.accept(connection); });
  };
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  watch->send(kOkHead + endpointListJson(42, endpointJson(otherHost.port, "h2", "in_service")) + "\n");
  gateway.runPendingEvents();
  const std::string message = clientRequest("pay", std::string(kBodyBytes, 'q'));
  TestPeer client = gateway.connectClient();
  client.send(message);
  REQUIRE(acceptAtEitherHost(first));
  REQUIRE(gateway.runUntilReceived(*first, "qqq"));
  client.send(std::string(kPipelinedBytes, 'x'));
  gateway.runPendingEvents();
  first->send(kDeclinedResponse);
  REQUIRE(acceptAtEitherHost(second));
  REQUIRE(gateway.runUntilReceived(*second, "qqq"));
  CHECK_THAT(second->receivedBytes, Catch::EndsWith(kHeadEnd + std::string(kBodyBytes, 'q')));
}
