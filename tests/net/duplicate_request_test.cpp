/// \file
/// Copies of another client's request, with its Req-Id. Hosts know nothing of each other's requests, so only
/// the gateway can keep a copy from running at a second host.
#include <catch2/catch.hpp>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

/// Longer than the longest deadline of the test configuration.
constexpr Duration kAfterAllDeadlines = 2100ms;

/// Sends `request` from a client of its own. Returns the status of the response, or "forwarded" if a second
/// attempt has reached the host.
std::string sendCopy(GatewayUnderTest& gateway, const std::string& request) {
  TestPeer other = gateway.connectClient();
  other.send(request);
  std::optional<TestPeer> secondAttempt;
  REQUIRE(gateway.runUntil([&] {
    gateway.host.accept(secondAttempt);
    return secondAttempt || other.hasReceived(kHeadEnd);
  }));
  return secondAttempt ? "forwarded" : statusOf(other);
}

}  // namespace

// Guards against a non-idempotent request that runs at two hosts because a client copies its id.
TEST_CASE("A copy of an open request is refused, and the original gets its response") {
  GatewayUnderTest gateway;
  const std::string request = GENERATE(clientRequest("pay", "x"), clientRequest("look"));
  ForwardedRequest original(gateway, request);
  CHECK(sendCopy(gateway, request) == "HTTP/1.1 409");
  CHECK(sendCopy(gateway, request) == "HTTP/1.1 409");
  original.host->send(okResponse("done"));
  CHECK(gateway.runUntilReceived(original.client, "done"));
}

// Guards against a request that runs twice because its id comes again after its client has left.
TEST_CASE("A copy of a request is refused while an attempt of it is in flight") {
  GatewayUnderTest gateway;
  const std::string request = GENERATE(clientRequest("pay", "x"), clientRequest("look"));
  ForwardedRequest original(gateway, request);
  original.client.close();
  gateway.runPendingEvents();
  CHECK(sendCopy(gateway, request) == "HTTP/1.1 409");
}

// Guards against the same if the copy arrives just after the original's response.
TEST_CASE("A copy of a request is refused for a time after its end") {
  GatewayUnderTest gateway;
  const std::string request = GENERATE(clientRequest("pay", "x"), clientRequest("look"));
  ForwardedRequest original(gateway, request);
  original.host->send(okResponse("done"));
  REQUIRE(gateway.runUntilReceived(original.client, "done"));
  original.host->close();
  gateway.runPendingEvents();
  CHECK(sendCopy(gateway, request) == "HTTP/1.1 409");
  gateway.advanceClock(kAfterAllDeadlines);
  CHECK(sendCopy(gateway, request) == "forwarded");
}

TEST_CASE("An id is free again if no attempt of its request was started") {
  GatewayUnderTest gateway(128, endpointJson(1, "h1", "terminating"));
  const std::string request = clientRequest("pay", "x");
  CHECK(sendCopy(gateway, request) == "HTTP/1.1 429");
  CHECK(sendCopy(gateway, request) == "HTTP/1.1 429");
}
