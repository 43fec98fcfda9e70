/// \file
/// Clients that send `Expect: 100-continue` and wait for the interim response before they send the body.
#include <catch2/catch.hpp>

#include "http_text.hpp"
#include "overloaded_gateway.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr Duration kWaitBeforeBody = 300ms;
const std::string kExpectField = "Expect: 100-continue\r\n";
const std::string kInterimResponse = "HTTP/1.1 100 Continue\r\n\r\n";

std::string headOf(const std::string& request) {
  return request.substr(0, request.find(kHeadEnd) + std::string_view(kHeadEnd).size());
}

std::string bodyOf(const std::string& request) {
  return request.substr(headOf(request).size());
}

// Removes the interim responses at the start of `received` and returns their number.
std::size_t takeInterimResponses(std::string& received) {
  std::size_t end = 0;
  while (std::string_view(received).substr(end).starts_with(kInterimResponse)) end += kInterimResponse.size();
  received.erase(0, end);
  return end / kInterimResponse.size();
}

}  // namespace

TEST_CASE("A client that waits for the interim response before it sends the body reads it once") {
  OverloadedGateway gateway;
  TestPeer client = gateway.program.client();
  const std::string request = clientRequest("pay", "body", kExpectField);
  client.send(headOf(request));
  REQUIRE(within([&] { return client.hasReceived(kInterimResponse); }));
  std::this_thread::sleep_for(kWaitBeforeBody);
  std::string& received = client.readAvailable();
  CHECK(takeInterimResponses(received) == 1);
  CHECK(received.size() == 0);
  client.send(bodyOf(request));
  REQUIRE(within([&] { return completeMessageSize(client.readAvailable()).has_value(); }));
  CHECK(received == okResponse("served"));
}

namespace {

// A client that sends the head of a request and then waits: for the interim response, then for the final one.
struct WaitingClient {
  TestPeer peer;
  std::size_t interimResponses = 0;
  bool hasFinalResponse = false;

  void read() {
    interimResponses += takeInterimResponses(peer.readAvailable());
    hasFinalResponse = completeMessageSize(peer.receivedBytes).has_value();
  }
};

}  // namespace

TEST_CASE("A client whose request is incomplete when the gateway exits reads a final response") {
  constexpr std::size_t kClients = 40;
  constexpr Duration kBetweenHeads = 55ms;  // the last head comes 2.2 s after SIGTERM
  OverloadedGateway gateway;
  std::vector<WaitingClient> clients;
  for (std::size_t count = 0; count < kClients; ++count) clients.push_back({gateway.program.client()});
  gateway.program.signal(SIGTERM);
  for (WaitingClient& client : clients) {
    client.peer.send(headOf(clientRequest("pay", "body", kExpectField)));
    std::this_thread::sleep_for(kBetweenHeads);
  }
  CHECK(gateway.program.exitStatus() == 0);
  std::size_t asked = 0;
  std::size_t unanswered = 0;
  for (WaitingClient& client : clients) {
    client.read();
    asked += client.interimResponses > 0;
    unanswered += client.interimResponses > 0 && !client.hasFinalResponse;
  }
  CHECK(asked > 0);
  CHECK(unanswered == 0);
}

TEST_CASE("A request that is refused for its head gets its final response without an interim one") {
  const auto [search, replacement, status] = GENERATE(table<std::string, std::string, std::string>({
      {"Plan: free", "Plan: none", "400"},
      {"Host: x\r\n", "", "400"},
      {"HTTP/1.1", "HTTP/1.0", "400"},
      {"POST ", "PUT ", "405"},
      {"Content-Length: 4", "Content-Length: 65537", "413"},
  }));
  INFO(search << " -> " << replacement);
  OverloadedGateway gateway;
  WaitingClient client{gateway.program.client()};
  client.peer.send(headOf(replaceOnce(clientRequest("pay", "body", kExpectField), search, replacement)));
  REQUIRE(within([&] {
    client.read();
    return client.hasFinalResponse || client.peer.remoteClosed || client.interimResponses > 0;
  }));
  CHECK(client.interimResponses == 0);
  CHECK_THAT(client.peer.receivedBytes, Catch::StartsWith("HTTP/1.1 " + status));
}

TEST_CASE("A customer over its quota is rejected before it is asked for the body") {
  constexpr int kRequestsBeyondBurst = 25;
  OverloadedGateway gateway;
  WaitingClient client{gateway.program.client()};
  for (int count = 0; count < kRequestsBeyondBurst; ++count) {
    client.peer.send(meteredRequest(3));
    REQUIRE(within([&] { return completeMessageSize(client.peer.readAvailable()).has_value(); }));
    client.peer.receivedBytes.clear();
  }
  const std::string request =
      replaceOnce(clientRequest("pay", "body", kExpectField), "Plan: free", "Plan: metered");
  client.peer.send(headOf(replaceOnce(request, "0000000000000007", "0000000000000003")));
  REQUIRE(within([&] {
    client.read();
    return client.hasFinalResponse || client.interimResponses > 0;
  }));
  CHECK(client.interimResponses == 0);
  CHECK_THAT(client.peer.receivedBytes,
             Catch::StartsWith("HTTP/1.1 429") && Catch::Contains("Connection: close"));
}
