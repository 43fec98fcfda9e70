/// \file
/// Polls of complete endpoint lists, which replace the watch while discovery rejects watches.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr const char* kRejectedStatusLine = "HTTP/1.1 429";

/// The remote end of discovery: accepts the gateway's requests one after another and records their request
/// lines and the time that passes.
class DiscoveryRequests {
 public:
  explicit DiscoveryRequests(GatewayUnderTest& gateway) : gateway_(gateway) {}

  /// Waits for the next request and returns its connection. The waits for all requests together are limited
  /// to one minute of simulated time.
  std::optional<TestPeer> next() {
    constexpr int kMaxWaits = 6000;
    constexpr int kTurnsPerWait = 20;
    std::optional<TestPeer> connection;
    for (; !connection && waits < kMaxWaits; ++waits) {
      gateway_.advanceClock(10ms);
      gateway_.runUntil([&, turns = 0]() mutable {
        return gateway_.discovery.accept(connection) || ++turns > kTurnsPerWait;
      });
    }
    REQUIRE(connection);
    REQUIRE(gateway_.runUntilReceived(*connection, kHeadEnd));
    const std::string& received = connection->receivedBytes;
    requestLines.push_back(received.substr(0, received.find(" HTTP")));
    return connection;
  }

  std::vector<std::string> requestLines;
  int waits = 0;  ///< Number of waits so far, of 10 ms of simulated time each.

 private:
  GatewayUnderTest& gateway_;
};

}  // namespace

TEST_CASE(
    "Where watches are rejected, the gateway polls complete lists with growing pauses, then watches again") {
  GatewayUnderTest gateway;
  DiscoveryRequests requests(gateway);
  for (int count = 0; count < 9; ++count) {
    auto connection = requests.next();
    connection->send("HTTP/1.1 503 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    REQUIRE(gateway.runUntilClosed(*connection));
  }
  CHECK(requests.requestLines[0] == "GET /registry/instances?watch=1&from=41");
  CHECK(requests.requestLines[1] == "GET /registry/instances");
  CHECK(requests.requestLines[4] == requests.requestLines[0]);
  CHECK(requests.waits > 600);  // about 200 if the pauses did not grow beyond the connect timeout
  auto connection = requests.next();
  const std::string draining = endpointJson(gateway.host.port, "h1", "terminating");
  connection->send(okResponse(endpointListJson(50, draining, "\"reset\":true,")));
  gateway.runPendingEvents();
  TestPeer client = gateway.connectClient();
  client.send(clientRequest("look"));
  CHECK(gateway.runUntilReceived(client, kRejectedStatusLine));  // the only host is draining
}

TEST_CASE("A polled endpoint list may be larger than the limit for a request's body") {
  constexpr int kOtherHosts = 1024;
  constexpr std::size_t kBytesPerSend = 32'768;
  GatewayUnderTest gateway;
  std::optional<TestPeer> watch;
  std::optional<TestPeer> poll;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  watch->send(kUnavailableResponse);
  gateway.runPendingEvents();
  gateway.advanceClock(500ms);
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, poll));
  REQUIRE(gateway.runUntilReceived(*poll, "GET /registry/instances HTTP"));
  std::string endpoints = endpointJson(gateway.host.port, "h1", "terminating");
  for (int number = 0; number < kOtherHosts; ++number)
    endpoints += ",\n" + endpointJson(1, "other" + std::to_string(number), "terminating");
  const std::string response = okResponse(endpointListJson(50, endpoints, "\"reset\":true,"));
  for (std::size_t sentBytes = 0; sentBytes < response.size(); sentBytes += kBytesPerSend) {
    poll->send(std::string_view(response).substr(sentBytes, kBytesPerSend));
    gateway.runPendingEvents();
  }
  TestPeer client = gateway.connectClient();
  client.send(clientRequest("look"));
  CHECK(gateway.runUntilReceived(client, kRejectedStatusLine));  // the only host is draining
}
