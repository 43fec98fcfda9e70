/// \file
/// The policy's invariants under generated traffic and faults, checked by PolicyInvariantChecker.
#include <catch2/catch.hpp>
#include <random>

#include "support/simulated_fleet.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

/// Ten seconds of generated traffic. With three of four seeds there are also faults: changed fault
/// probabilities, hosts that stop and restart, gateways that are killed and restarted.
class GeneratedTraffic {
 public:
  GeneratedTraffic(SimulatedFleet& fleet, std::uint64_t seed)
      : fleet_(fleet), random_(static_cast<unsigned>(seed)), withFaults_(seed % 4 != 0) {}

  void play() {
    constexpr int kSteps = 1000;
    constexpr Duration kStep = 10ms;
    constexpr Duration kResponseTimeLimit = 4s;
    for (int step = 0; step < kSteps; ++step) {
      fleet_.runFor(kStep);
      if (withFaults_ && step % 100 == 50) changeFaults();
      if (withFaults_ && step % 130 == 60) toggleHost();
      const std::uint32_t restarted = below(fleet_.settings.gateways);
      if (withFaults_ && step % 170 == 90 && fleet_.isRunning(restarted)) restartGateway(restarted);
      for (unsigned requests = below(5); requests > 0; --requests) sendRequest();
    }
    fleet_.runFor(kResponseTimeLimit);
  }

 private:
  unsigned below(unsigned bound) { return static_cast<unsigned>(random_() % bound); }

  void changeFaults() {
    fleet_.faults = {0.04 * below(4), 0.03 * below(4), 0.03 * below(4),
                     0.05 * below(4), 0.3 * below(4),  0.2 * below(3)};
    if (below(3) == 0) fleet_.counters.clear();
  }
  void toggleHost() {
    SimulatedHost& host = fleet_.hosts[below(6)];
    host.serving = !host.serving;
    if (host.serving) host.startedAt = fleet_.now;
    fleet_.publishHosts();
  }
  void restartGateway(std::uint32_t gateway) {
    fleet_.killGateway(gateway);
    fleet_.schedule(fleet_.now + 50ms * below(20),
                    [&fleet = fleet_, gateway] { fleet.startGateway(gateway); });
  }
  void sendRequest() {
    const std::uint32_t gateway = below(fleet_.settings.gateways);
    if (!fleet_.isRunning(gateway)) return;
    const unsigned customer = below(12);
    const unsigned plan = customer % 3;
    fleet_.sendRequest(gateway, customer, plan, below(4), 1 + below(4), 300ms + 100ms * below(18));
  }

  SimulatedFleet& fleet_;
  std::ranlux24_base random_;
  bool withFaults_;
};

}  // namespace

TEST_CASE("Generated traffic with faults breaks no invariant of the policy") {
  const auto seed = GENERATE(take(24, random(1, 1'000'000)));
  PolicySettings settings = testPolicySettings(seed % 3 == 0 ? 30 : 3);
  settings.allowHedging = seed % 5 == 0;
  SimulatedFleet fleet(settings, static_cast<std::uint64_t>(seed));
  GeneratedTraffic(fleet, static_cast<std::uint64_t>(seed)).play();
  INFO("seed " << seed);
  CHECK(fleet.invariants.violations == std::set<std::string>{});
  CHECK(fleet.servedRequests() > 0);
}

TEST_CASE("A customer that sends through all gateways at once stays below its hard ceiling") {
  constexpr std::uint64_t kCustomer = 7;
  constexpr std::uint32_t kCeilingPlan = 2;
  constexpr std::uint32_t kGateways = 3;
  const auto seed = GENERATE(take(6, random(1, 1'000'000)));
  PolicySettings settings = testPolicySettings();
  settings.hasCounter = seed % 2 == 0;  // without it each gateway enforces its share alone
  SimulatedFleet fleet(settings, static_cast<std::uint64_t>(seed));
  for (std::uint32_t step = 0; step < 600; ++step) {
    fleet.runFor(10ms);
    if (step % 150 == 149) {
      const std::uint32_t restarted = step / 150 % kGateways;
      fleet.killGateway(restarted);
      fleet.startGateway(restarted);
    }
    fleet.counters.clear();
    for (std::uint32_t gateway = 0; gateway < kGateways; ++gateway)
      fleet.sendRequest(gateway, kCustomer, kCeilingPlan, 0, 4);
  }
  CHECK(fleet.invariants.violations == std::set<std::string>{});
  CHECK(fleet.servedRequests() > 0);
}

TEST_CASE("Hosts that restart together are not overloaded during their slow start, and are used") {
  SimulatedFleet fleet(testPolicySettings(), 3);
  fleet.applyUniformLoad(500);
  for (std::size_t host : {0, 1, 2}) fleet.hosts[host].startedAt = fleet.now;
  fleet.publishHosts();
  fleet.applyUniformLoad(500);
  CHECK(fleet.invariants.violations == std::set<std::string>{});
  CHECK_FALSE(fleet.hosts[0].recentWork.empty());
}
