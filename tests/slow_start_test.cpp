/// \file
/// The load of a host in slow start, with all gateways of the emulator together: at most N + 2 * sqrt(N) + 2
/// requests of mean work, where N is what the settings allow the host at that time.
#include <catch2/catch.hpp>

#include "emulator/metrics.hpp"

using namespace merlinbridge;
using namespace merlinbridge::emulator;

namespace {

/// Nine of ten hosts are replaced at once while the load is five times the usual one.
const std::string kHostsReplaced = R"(name = "cold hosts"
length = "5s"
[fleet]
gateways = 3
[hosts]
count = 24
cores = 1
room = 20
cold = "6s"
cold_share = 0.16
tip_multiple = 2
tip = "1s"
[clients]
rate = 360
customers = 900
skew = 1.2
spread = 3
tries = 3
[[method]]
name = "look"
work = "40ms"
[[plan]]
name = "open"
[[fault]]
kind = "host_replace"
from = "2s"
lasts = "0.2s"
share = 0.9
steps = 1
[[fault]]
kind = "load_burst"
from = "2s"
lasts = "3s"
factor = 5
[rules]
may_copy = true
)";

}  // namespace

TEST_CASE("Hosts in slow start are not overloaded by all gateways together, one or hundreds") {
  const auto [gateways, spread] =
      GENERATE(table<std::string, std::string>({{"1", "1"}, {"3", "3"}, {"25", "8"}, {"300", "20"}}));
  const Scenario scenario =
      readScenario(kHostsReplaced, "cold.toml", {"fleet.gateways=" + gateways, "clients.spread=" + spread});
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const Metrics metrics = play(scenario, seed, Policy::gatewayCore);
    INFO(gateways << " gateways, seed " << seed);
    CHECK(metrics.violations[static_cast<std::size_t>(Invariant::slowStart)] == 0);
    CHECK(metrics.peakSlowStartLoad < 1);
    CHECK(metrics.peakSlowStartLoad > 0.05);  // the hosts are used
  }
}

TEST_CASE("Gateways that admit everything overload the same hosts in slow start") {
  const Scenario scenario =
      readScenario(kHostsReplaced, "cold.toml", {"fleet.gateways=25", "clients.spread=8"});
  CHECK(play(scenario, 1, Policy::admitAll).violations[static_cast<std::size_t>(Invariant::slowStart)] > 0);
}
