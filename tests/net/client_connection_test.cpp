/// \file
/// Client connections: pipelined requests, framing errors, timeouts, and disconnects that coincide with other
/// events of the same event-loop turn.
#include <catch2/catch.hpp>
#include <vector>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr std::size_t kSocketsForTwoClients = 32 + 2 * 2;  // with two connections to hosts
constexpr std::size_t kMuchPipelinedBytes = 400'000;       // more than the gateway reads ahead for one client

}  // namespace

TEST_CASE("A client's close neither stops the gateway nor delivers its response to another client") {
  GatewayUnderTest gateway;
  ForwardedRequest forwarded(gateway);
  forwarded.client.close();
  gateway.runPendingEvents();
  CHECK(gateway.server.unanswered() == 0);
  forwarded.host->send(okResponse("one"));
  gateway.runPendingEvents();
  TestPeer otherClient = gateway.connectClient();
  otherClient.send(kReadyProbe);
  REQUIRE(gateway.runUntilReceived(otherClient, "ready\n"));
  CHECK_FALSE(otherClient.hasReceived("one"));
}

TEST_CASE("Pipelined requests are answered in order") {
  GatewayUnderTest gateway;
  ForwardedRequest forwarded(gateway, clientRequest("look") + kLiveProbe + clientRequest("none"));
  forwarded.host->send(okResponse("one"));
  REQUIRE(gateway.runUntilReceived(forwarded.client, "Req-Kind is not known"));
  const std::string& received = forwarded.client.receivedBytes;
  CHECK(received.find("one") < received.find("live\n"));
}

TEST_CASE("A client that pipelines many requests does not delay the answer to another client") {
  constexpr int kPipelined = 500;
  GatewayUnderTest gateway;
  TestPeer flooding = gateway.connectClient();
  TestPeer other = gateway.connectClient();
  std::string pipelined;
  for (int count = 0; count < kPipelined; ++count) pipelined += kLiveProbe;
  flooding.send(pipelined);
  other.send(kLiveProbe);
  REQUIRE(gateway.stepUntil([&] { return other.hasReceived("live\n"); }));
  const std::size_t answeredBytes = flooding.readAvailable().size();
  CHECK(answeredBytes < other.receivedBytes.size() * kPipelined / 10);
  REQUIRE(gateway.runUntil(
      [&] { return flooding.readAvailable().size() == other.receivedBytes.size() * kPipelined; }));
}

TEST_CASE(
    "A client that pipelines without reading gets all responses, complete and in order, once it reads") {
  constexpr int kRequests = 150;
  constexpr std::size_t kBodyBytes = 60'000;
  constexpr int kTurnsWithoutProgress = 500;
  GatewayUnderTest gateway(1024);
  std::string pipelined;
  for (int count = 0; count < kRequests; ++count) pipelined += clientRequest("look");
  ForwardedRequest forwarded(gateway, clientRequest("look"));
  const auto bodyOf = [](int number) {
    return std::string(kBodyBytes, static_cast<char>('a' + number % 26));
  };
  std::size_t sentBytes = 0;
  int answered = 0;
  std::vector<TestPeer> hosts;
  hosts.push_back(std::move(*forwarded.host));
  const auto sendAndServe = [&] {
    if (sentBytes < pipelined.size())
      sentBytes += forwarded.client.trySend(std::string_view(pipelined).substr(sentBytes));
    for (std::optional<TestPeer> accepted; gateway.host.accept(accepted);)
      hosts.push_back(std::move(*accepted));
    for (TestPeer& host : hosts) {
      if (!host.hasReceived(kHeadEnd)) continue;
      host.receivedBytes.clear();
      host.send(okResponse(bodyOf(answered++)));
    }
  };
  gateway.runUntil([&, idleTurns = 0, lastAnswered = 0]() mutable {
    sendAndServe();
    idleTurns = std::exchange(lastAnswered, answered) == answered ? idleTurns + 1 : 0;
    return idleTurns > kTurnsWithoutProgress;
  });
  // The responses are buffered in the gateway, which forwards nothing more for this client.
  CHECK(answered < kRequests);
  std::string expected;
  REQUIRE(gateway.runUntil([&] {
    sendAndServe();
    forwarded.client.readAvailable();
    return answered == kRequests + 1 && forwarded.client.receivedBytes.ends_with(bodyOf(kRequests));
  }));
  for (int number = 0; number <= kRequests; ++number) expected += okResponse(bodyOf(number));
  CHECK((forwarded.client.receivedBytes == expected));
}

TEST_CASE(
    "Invalid framing is answered with the matching status and a close, and other clients are still served") {
  const auto [bytes, status] = GENERATE(table<std::string, std::string>({
      {"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nq\r\n", "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "413"},
      {"GET / HTTP/1.1\r\nN: " + std::string(17'000, 'x'), "431"},
      {"\x16\x03\x01\r\n\r\n", "400"},
  }));
  GatewayUnderTest gateway;
  TestPeer client = gateway.connectClient();
  client.send(bytes);
  CHECK(gateway.runUntilClosed(client));
  CHECK(statusOf(client) == "HTTP/1.1 " + status);
  client.close();
  ForwardedRequest forwarded(gateway);
  forwarded.host->send(okResponse("one"));
  CHECK(gateway.runUntilReceived(forwarded.client, "one"));
}

TEST_CASE("An incomplete request and an idle connection are closed at their timeouts") {
  GatewayUnderTest gateway;
  TestPeer incomplete = gateway.connectClient();
  TestPeer idle = gateway.connectClient();
  incomplete.send(kIncompleteRequest);
  gateway.runPendingEvents();
  gateway.advanceClock(3s);
  CHECK(gateway.runUntilClosed(incomplete));
  CHECK_FALSE(idle.isClosedByRemote());
  gateway.advanceClock(30s);
  CHECK(gateway.runUntilClosed(idle));
}

TEST_CASE(
    "An incomplete request is answered with 408 after the longest deadline and closed without a reset") {
  const std::string bytes = GENERATE(as<std::string>(), "GET", kIncompleteRequest,
                                     "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
  GatewayUnderTest gateway;
  TestPeer client = gateway.connectClient();
  client.send(bytes);
  gateway.runPendingEvents();
  gateway.advanceClock(2100ms);
  CHECK(gateway.runUntilClosed(client));
  CHECK(statusOf(client) == "HTTP/1.1 408");
  CHECK_FALSE(client.wasReset);
}

TEST_CASE(
    "A request sent while its idle connection is being closed is neither forwarded nor answered by a reset") {
  enum class ClosedBy { shutdown, idleTimeout, eviction };
  const auto closedBy = GENERATE(ClosedBy::shutdown, ClosedBy::idleTimeout, ClosedBy::eviction);
  GatewayUnderTest gateway(kSocketsForTwoClients);
  ForwardedRequest forwarded(gateway);
  forwarded.host->send(okResponse("one"));
  REQUIRE(gateway.runUntilReceived(forwarded.client, "one"));
  forwarded.client.receivedBytes.clear();
  forwarded.host->receivedBytes.clear();
  gateway.advanceClock(30ms);
  std::vector<TestPeer> newcomers;
  for (int count = 0; closedBy == ClosedBy::eviction && count < 2; ++count)
    newcomers.push_back(gateway.connectClient());
  gateway.runPendingEvents();
  if (closedBy == ClosedBy::shutdown) {
    gateway.server.startDraining(TimePoint::max());
    gateway.server.closeIdle();
  }
  if (closedBy == ClosedBy::idleTimeout) gateway.advanceClock(29'980ms);
  if (closedBy == ClosedBy::eviction) REQUIRE(gateway.runUntilClosed(forwarded.client));
  forwarded.client.send(clientRequest("look"));  // as from a client that has not read the FIN yet
  gateway.runPendingEvents();
  CHECK(forwarded.client.isClosedByRemote());
  CHECK_FALSE(forwarded.client.wasReset);
  CHECK_FALSE(forwarded.client.hasPendingReset());
  CHECK(forwarded.client.receivedBytes.empty());
  std::optional<TestPeer> host;
  CHECK_FALSE(gateway.host.accept(host));
  CHECK(forwarded.host->readAvailable().empty());
}

TEST_CASE("A request that arrives in the same turn as its connection's idle timeout is served") {
  GatewayUnderTest gateway;
  ForwardedRequest forwarded(gateway);
  forwarded.host->send(okResponse("one"));
  REQUIRE(gateway.runUntilReceived(forwarded.client, "one"));
  forwarded.client.receivedBytes.clear();
  gateway.advanceClock(29'990ms);
  forwarded.client.send(clientRequest("look"));  // in the kernel's receive buffer, not read yet
  gateway.clock.currentTime += 10ms;
  gateway.loop.endTurn();  // the timeout is handled before the bytes
  std::optional<TestPeer> host;
  REQUIRE(gateway.runUntilAccepted(gateway.host, host));
  REQUIRE(gateway.runUntilReceived(*host, kHeadEnd));
  host->send(okResponse("two"));
  CHECK(gateway.runUntilReceived(forwarded.client, "two"));
  CHECK_FALSE(forwarded.client.isClosedByRemote());
}

TEST_CASE("A client's close is detected behind much pipelined data, and nothing more is forwarded for it") {
  const bool resets = GENERATE(true, false);
  GatewayUnderTest gateway(1024);
  ForwardedRequest forwarded(gateway);
  std::string pipelined;
  while (pipelined.size() < kMuchPipelinedBytes) pipelined += clientRequest("look");
  for (std::size_t sentBytes = 0; sentBytes < pipelined.size();) {
    const std::size_t taken = forwarded.client.trySend(std::string_view(pipelined).substr(sentBytes));
    if (taken == 0) break;
    sentBytes += taken;
  }
  gateway.runPendingEvents();
  const std::size_t descriptorsBefore = openDescriptorCount();
  resets ? forwarded.client.closeWithReset() : forwarded.client.close();
  gateway.advanceClock(110ms);  // a third of the time in which a close must take effect
  gateway.runPendingEvents();
  CHECK(openDescriptorCount() < descriptorsBefore - 1);  // the gateway's end is closed as well
  CHECK(gateway.server.unanswered() == 0);
  forwarded.host->send(okResponse("one"));
  gateway.runPendingEvents();
  std::optional<TestPeer> host;
  CHECK_FALSE(gateway.host.accept(host));
}

TEST_CASE("A request that is read in the same turn as its client's close is not forwarded") {
  const bool halfCloses = GENERATE(true, false);  // on the wire, a half-close and a close look alike
  constexpr int kClients = 20;
  constexpr std::size_t kBodyBytes = 30'000;
  GatewayUnderTest gateway;
  gateway.runPendingEvents();
  std::vector<TestPeer> clients;
  for (int number = 0; number < kClients; ++number) {
    const bool withBody = number % 2 == 0;
    clients.push_back(gateway.connectClient());
    clients.back().send(withBody ? clientRequest("pay", std::string(kBodyBytes, 'x'))
                                 : clientRequest("look"));
    halfCloses ? clients.back().shutdownSend() : clients.back().close();
  }
  gateway.runPendingEvents();
  std::optional<TestPeer> host;
  CHECK_FALSE(gateway.host.accept(host));
  CHECK(gateway.server.unanswered() == 0);
}
