#include "gateway_under_test.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

namespace merlinbridge::testing {

namespace {

constexpr auto kRealTimeBound = 5s;  // reached by failing tests only
constexpr int kTurnsForPendingEvents = 200;
constexpr Duration kClockStep = 10ms;
constexpr std::size_t kStatusLength = 12;  // of "HTTP/1.1 200"

std::uint16_t freePort() {
  return PeerListener().port;
}

}  // namespace

GatewayUnderTest::GatewayUnderTest(std::size_t sockets, const std::string& endpoints,
                                   const std::string& search, const std::string& replacement)
    : sockets_(sockets),
      listenPort(freePort()),
      loop(log, clock),
      server(loop, config::readGatewayConfig(replaceOnce(configText(endpoints), search, replacement))) {
  server.serve();
  loop.endTurn();
}

bool GatewayUnderTest::runUntil(const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + kRealTimeBound;
  while (std::chrono::steady_clock::now() < end) {
    loop.io.poll();
    loop.io.restart();
    if (done()) return true;
  }
  return false;
}

bool GatewayUnderTest::runUntilReceived(TestPeer& peer, std::string_view text) {
  return runUntil([&] { return peer.hasReceived(text); });
}

bool GatewayUnderTest::runUntilClosed(TestPeer& peer) {
  return runUntil([&] { return peer.isClosedByRemote(); });
}

bool GatewayUnderTest::runUntilAccepted(const PeerListener& listener, std::optional<TestPeer>& accepted) {
  return runUntil([&] { return listener.accept(accepted); });
}

bool GatewayUnderTest::stepUntil(const std::function<bool()>& done) {
  const auto end = std::chrono::steady_clock::now() + kRealTimeBound;
  while (std::chrono::steady_clock::now() < end) {
    if (done()) return true;
    loop.io.poll_one();
    loop.io.restart();
  }
  return false;
}

void GatewayUnderTest::runPendingEvents() {
  int turns = 0;
  runUntil([&] { return ++turns > kTurnsForPendingEvents; });
}

void GatewayUnderTest::advanceClock(Duration span) {
  const TimePoint end = clock.currentTime + span;
  while (clock.currentTime < end) {
    clock.currentTime = std::min(end, clock.currentTime + kClockStep);
    loop.deadlines.run(clock.currentTime);
    loop.endTurn();
    loop.io.poll();
    loop.io.restart();
  }
}

std::string GatewayUnderTest::configText(const std::string& endpoints) const {
  return gatewayConfigText("127.0.0.1:" + std::to_string(listenPort), discovery.address(), counter.address(),
                           endpoints.empty() ? endpointJson(host.port, "h1", "in_service") : endpoints,
                           sockets_);
}

ForwardedRequest::ForwardedRequest(GatewayUnderTest& gateway, const std::string& message)
    : client(gateway.connectClient()) {
  client.send(message);
  const std::string headEndAndBody = message.substr(message.rfind("\r\n\r\n"));
  REQUIRE(gateway.runUntilAccepted(gateway.host, host));
  REQUIRE(gateway.runUntilReceived(*host, headEndAndBody));
}

std::string statusOf(TestPeer& client) {
  return client.readAvailable().substr(0, kStatusLength);
}

}  // namespace merlinbridge::testing
