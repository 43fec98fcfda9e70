/// \file
/// Requests in a customer's name that state something untrue: any client can send them, so they must not
/// change the limits of the customer's own requests.
#include <algorithm>
#include <catch2/catch.hpp>
#include <utility>

#include "support/simulated_fleet.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr std::uint64_t kCustomer = 7;
constexpr std::uint32_t kUnlimitedPlan = 3;
constexpr std::uint32_t kCeilingPlan = 2;
constexpr double kUnits = 4;

PolicySettings settingsWithUnlimitedPlan() {
  PolicySettings settings = testPolicySettings();
  settings.plans.push_back({});
  return settings;
}

/// What a request in the customer's name states beside the customer.
struct Claim {
  std::uint32_t gateways;
  std::uint32_t plan;
};

void sendClaim(SimulatedFleet& fleet, std::uint32_t gateway, const Claim& claim) {
  const std::uint32_t all = std::exchange(fleet.settings.gateways, claim.gateways);
  fleet.sendRequest(gateway, kCustomer, claim.plan, 0, 1);
  fleet.settings.gateways = all;
}

/// The lowest level of the customer's ceiling, of which all gateways together draw `kUnits` for each of the
/// customer's own requests that is admitted. A request of another client that makes `claim` comes first at
/// each gateway, and before each further one of the customer if `repeated`.
double lowestCeilingLevel(SimulatedFleet& fleet, const Claim& claim, bool repeated) {
  const Plan& plan = fleet.settings.plans[kCeilingPlan];
  constexpr Duration kStep = 10ms;
  constexpr std::uint32_t kGateways = 3;
  fleet.runFor(10s);  // ceilings start at their lowest level
  double level = plan.ceilingBurst;
  double lowest = level;
  for (std::uint32_t step = 0; step < 300; ++step) {
    for (std::uint32_t gateway = 0; gateway < kGateways; ++gateway) {
      if (step == 0 || repeated) sendClaim(fleet, gateway, claim);
      const bool admitted =
          fleet.sendRequest(gateway, kCustomer, kCeilingPlan, 0, kUnits).attemptsStarted > 0;
      if (admitted) level -= kUnits;
      lowest = std::min(lowest, level);
    }
    fleet.runFor(kStep);
    level =
        std::min(plan.ceilingBurst, level + plan.ceilingRate * std::chrono::duration<double>(kStep).count());
  }
  CHECK(lowest < plan.ceilingBurst);  // some of the customer's own requests were admitted
  return lowest;
}

}  // namespace

// Guards against a hard ceiling of which each gateway gives the whole, because another client's request has
// stated fewer gateways in the customer's name.
TEST_CASE("A request that states too few gateways does not raise the customer's hard ceiling") {
  PolicySettings settings = settingsWithUnlimitedPlan();
  settings.hasCounter = GENERATE(true, false);
  SimulatedFleet fleet(settings, 1);
  const bool repeated = GENERATE(true, false);
  const Plan plan = fleet.settings.plans[kCeilingPlan];
  CHECK(lowestCeilingLevel(fleet, {1, kCeilingPlan}, repeated) >= -plan.ceilingSlack);
}

// Guards against the same through a plan without a ceiling that another client's request has stated.
TEST_CASE("A request that states another plan does not lift the customer's hard ceiling") {
  SimulatedFleet fleet(settingsWithUnlimitedPlan(), 1);
  const bool repeated = GENERATE(true, false);
  const std::uint32_t otherPlan = GENERATE(0u, 1u, kUnlimitedPlan);
  const Plan plan = fleet.settings.plans[kCeilingPlan];
  CHECK(lowestCeilingLevel(fleet, {3, otherPlan}, repeated) >= -plan.ceilingSlack);
}

TEST_CASE("A request that states too many gateways does not lower the customer's limits for long") {
  SimulatedFleet fleet(settingsWithUnlimitedPlan(), 1);
  fleet.runFor(10s);
  sendClaim(fleet, 0, {3, kCeilingPlan});
  sendClaim(fleet, 0, {1, kCeilingPlan});
  int admitted = 0;
  for (int count = 0; count < 5; ++count)
    admitted += fleet.sendRequest(0, kCustomer, kCeilingPlan, 0, 1).attemptsStarted > 0;
  CHECK(admitted == 5);
}
