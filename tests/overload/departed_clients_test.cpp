/// \file
/// Clients that leave while the gateway still holds requests of theirs.
#include <catch2/catch.hpp>
#include <map>

#include "overloaded_gateway.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr std::size_t kClients = 20;
constexpr std::size_t kPipelinedRequests = 20'000;
constexpr Duration kHostDelay = 20ms;
constexpr Duration kSendingTime = 50ms;

// The protocol allows an attempt to begin 0.1 s after its client has closed, and gives each time limit on
// sockets another 50 ms.
constexpr Duration kMaxBeginAfterClose = 150ms;

struct PipeliningClient {
  TestPeer peer;
  std::string requests;
  std::size_t sent = 0;
};

std::size_t beganAfter(const std::vector<ReceivedRequest>& requests, SteadyTime time) {
  const auto isLater = [time](const ReceivedRequest& request) { return request.firstByteAt > time; };
  return static_cast<std::size_t>(std::count_if(requests.begin(), requests.end(), isLater));
}

// Sends `request` on a connection of its own and waits for the answer. Returns its status line's start.
std::string answerTo(const OverloadedGateway& gateway, const std::string& request) {
  TestPeer client = gateway.program.client();
  client.send(request);
  within([&] { return client.hasReceived(kHeadEnd); }, 2s);
  return client.receivedBytes.substr(0, 12);
}

}  // namespace

TEST_CASE("No attempt begins for a client that closed more than 0.1 s ago with much of its data unread") {
  const bool hostsDecline = GENERATE(false, true);
  INFO("hosts decline: " << hostsDecline);
  OverloadedGateway gateway(kHostDelay, hostsDecline ? kDeclinedResponse : okResponse("served"));
  std::vector<PipeliningClient> clients;
  for (std::size_t number = 0; number < kClients; ++number) {
    std::string requests;
    for (std::size_t count = 0; count < kPipelinedRequests; ++count) requests += clientRequest("look");
    clients.push_back({gateway.program.client(), std::move(requests)});
    clients.back().peer.send(clientRequest("look"));
  }
  REQUIRE(within([&] { return !gateway.hosts.received().empty(); }));
  const auto sendMore = [&] {
    for (PipeliningClient& client : clients) {
      client.sent += client.peer.trySend(std::string_view(client.requests).substr(client.sent));
      client.peer.readAvailable();
      client.peer.receivedBytes.clear();
    }
    return false;
  };
  within(sendMore, kSendingTime);
  // The network still delivers what the client has sent, and then its end of stream.
  for (PipeliningClient& client : clients) client.peer.shutdownSend();
  const SteadyTime closedAt = std::chrono::steady_clock::now();
  within(
      [&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](PipeliningClient& client) { return client.peer.isClosedByRemote(); });
      },
      3s);
  INFO("attempts: " << gateway.hosts.received().size());
  CHECK(beganAfter(gateway.hosts.received(), closedAt + kMaxBeginAfterClose) == 0);
}

TEST_CASE("A request whose client has left does not run a second time when its id comes again") {
  const std::string method = GENERATE("look", "save", "pay");
  INFO("method: " << method);
  OverloadedGateway gateway(60ms);
  for (int number = 0; number < 40; ++number) {
    std::string request = clientRequest(method, method == "look" ? "" : "body");
    if (method == "save")
      request = replaceOnce(request, "Host: x\r\n", "Host: x\r\nIdempotency-Key: 5c0f6e\r\n");
    const std::size_t before = gateway.hosts.received().size();
    TestPeer first = gateway.program.client();
    first.send(request);
    REQUIRE(within([&] { return gateway.hosts.received().size() > before; }));
    first.close();
    if (number % 2 == 0) std::this_thread::sleep_for(100ms);  // the first attempt has ended
    CHECK(answerTo(gateway, request) == "HTTP/1.1 409");
  }
  std::map<std::string, int> runs;
  for (const ReceivedRequest& request : gateway.hosts.received()) ++runs[request.id];
  CHECK(runs.size() == 40);
  CHECK(std::all_of(runs.begin(), runs.end(), [](const auto& entry) { return entry.second == 1; }));
}
