/// \file
/// The limit on the memory of all buffers: what is counted, who gives way, and who is served meanwhile.
#include <catch2/catch.hpp>
#include <vector>

#include "net/buffer.hpp"
#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr std::size_t kMegabyte = std::size_t{1} << 20;
constexpr std::size_t kLargeBody = 60'000;
constexpr int kStalledClients = 100;

constexpr int kHosts = 60;

std::string endpointsAt(std::uint16_t port) {
  std::string endpoints;
  for (int number = 0; number < kHosts; ++number)
    endpoints += (number > 0 ? "," : "") + endpointJson(port, "h" + std::to_string(number), "in_service");
  return endpoints;
}

// A gateway whose buffers may take 2 MB, a quarter of its memory, with more hosts than requests.
struct SmallGateway : GatewayUnderTest {
  explicit SmallGateway(const PeerListener& hostListener)
      : GatewayUnderTest(1024, endpointsAt(hostListener.port), "\"limits\":{",
                         "\"limits\":{\"memory_mb\":8,") {}
};

std::string incompleteRequest() {
  const std::string request = clientRequest("pay", std::string(kLargeBody, 'x'));
  return request.substr(0, request.size() - 1);
}

}  // namespace

TEST_CASE("A budget counts the blocks of buffers, not their bytes, until they are freed") {
  net::BufferBudget budget;
  {
    net::Buffer buffer(budget);
    buffer.append("x");
    CHECK(budget.usedBytes() == buffer.capacity());
    buffer.append(std::string(100'000, 'x'));
    CHECK(budget.usedBytes() == buffer.capacity());
    buffer.consume(buffer.size());
    CHECK(budget.usedBytes() == buffer.capacity());
  }
  CHECK(budget.usedBytes() == 0);
  CHECK(budget.peakBytes() >= 100'000);
}

TEST_CASE("A budget frees memory of others before it refuses, and keeps half of it for what requests need") {
  net::BufferBudget budget;
  budget.setLimit(1000);
  budget.allocated(900);
  CHECK(budget.spareBytes() == 0);
  CHECK_FALSE(budget.request(200, {}));
  budget.setReclaim([&](std::size_t bytes, core::SlotRef) { budget.freed(bytes); });
  CHECK(budget.request(200, {}));
  budget.freed(500);
  CHECK(budget.spareBytes() == 300);
  CHECK_FALSE(budget.request(1001, {}));
  CHECK(budget.refusals() == 2);
}

TEST_CASE("Clients that stop in the middle of large requests give way to one that sends a whole one") {
  PeerListener hosts;
  SmallGateway gateway(hosts);
  std::vector<TestPeer> stalled;
  for (int number = 0; number < kStalledClients; ++number) {
    stalled.push_back(gateway.connectClient());
    stalled.back().send(incompleteRequest());
    gateway.runPendingEvents();
  }
  CHECK(gateway.loop.buffers.peakBytes() <= 2 * kMegabyte);
  gateway.advanceClock(10ms);
  TestPeer usual = gateway.connectClient();
  usual.send(clientRequest("pay", std::string(kLargeBody, 'x')));
  std::optional<TestPeer> host;
  REQUIRE(gateway.runUntilAccepted(hosts, host));
  REQUIRE(gateway.runUntilReceived(*host, std::string(kLargeBody, 'x')));
  host->send(okResponse("done"));
  CHECK(gateway.runUntilReceived(usual, "done"));
  std::size_t refused = 0;
  for (TestPeer& client : stalled) refused += client.hasReceived("HTTP/1.1 503");
  CHECK(refused > 0);
  CHECK(refused < stalled.size());
}

TEST_CASE("Requests in flight do not give way: one that finds no memory is refused, a small one is served") {
  PeerListener hosts;
  SmallGateway gateway(hosts);
  std::vector<TestPeer> clients;
  std::vector<TestPeer> reached;
  const auto readRequests = [&] {
    for (std::optional<TestPeer> accepted; hosts.accept(accepted); accepted.reset())
      reached.push_back(std::move(*accepted));
    for (TestPeer& host : reached) host.readAvailable();
  };
  bool refused = false;
  while (!refused && clients.size() < kHosts) {
    clients.push_back(gateway.connectClient());
    clients.back().send(clientRequest("pay", std::string(kLargeBody, 'x')));
    for (int round = 0; round < 3; ++round) gateway.runPendingEvents(), readRequests();
    refused = clients.back().hasReceived("no memory for the request");
  }
  CHECK(refused);
  CHECK(gateway.loop.buffers.peakBytes() <= 2 * kMegabyte);
  const std::size_t reachedBefore = reached.size();
  TestPeer small = gateway.connectClient();
  small.send(clientRequest("look"));
  REQUIRE(gateway.runUntil([&] { return readRequests(), reached.size() > reachedBefore; }));
  reached.back().send(okResponse("done"));
  CHECK(gateway.runUntilReceived(small, "done"));
}
