/// \file
/// Hosts that restart at their address while the old process keeps its connections open.
#include <catch2/catch.hpp>

#include "overloaded_gateway.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr std::size_t kUsualClients = 32;
constexpr const char* kHeartbeat = "\n";

// Time from the notification until a request may no longer begin at the old process; it covers the delivery
// on this machine.
constexpr Duration kNotificationDelay = 50ms;

std::string millisecondsNow() {
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

// Sends heartbeats on the watch for that long.
void keepWatchAlive(const TestPeer& watch, Duration span) {
  for (Duration passed{0}; passed < span; passed += 500ms) {
    watch.send(kHeartbeat);
    std::this_thread::sleep_for(500ms);
  }
}

}  // namespace

TEST_CASE("No request begins on a connection to a host's old process once its restart was announced") {
  OverloadedGateway gateway(20ms);
  std::optional<TestPeer> watch;
  REQUIRE(within([&] { return gateway.program.discovery.accept(watch); }));
  REQUIRE(within([&] { return watch->hasReceived(kHeadEnd); }));
  watch->send(kOkHead);
  UsualClients usual(gateway.program.listenPort, kUsualClients);
  keepWatchAlive(*watch, 1s);
  const SteadyTime restartedAt = std::chrono::steady_clock::now();
  watch->send(endpointListJson(42, gateway.hosts.endpoints(millisecondsNow()), "\"reset\":true,"));
  keepWatchAlive(*watch, 4s);
  CHECK(usual.finish().lost == 0);
  std::size_t atOldProcess = 0;
  std::size_t atNewProcess = 0;
  for (const ReceivedRequest& request : gateway.hosts.received()) {
    if (request.host != 0 || request.firstByteAt < restartedAt + kNotificationDelay) continue;
    ++(request.connectedAt < restartedAt ? atOldProcess : atNewProcess);
  }
  CHECK(atOldProcess == 0);
  CHECK(atNewProcess > 0);
}
