/// \file
/// Decisions of the policy module in a simulated fleet: quotas, concurrency limits, hosts with faults, load
/// shedding and calls to the counter service. Plans and methods are those of testPolicySettings(): plan 0 has
/// a quota of 4 units/s with a burst of 12, plan 1 a limit of two attempts in flight.
#include <algorithm>
#include <catch2/catch.hpp>

#include "support/simulated_fleet.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr std::uint64_t kSeed = 1;
constexpr std::uint64_t kCustomer = 5;
constexpr std::uint32_t kQuotaPlan = 0;
constexpr std::uint32_t kConcurrencyPlan = 1;
constexpr std::uint32_t kMethod = 0;
constexpr std::uint64_t kFirstCustomer = 100;  // in tests with many customers

/// Sends `count` requests that cost `units` each to `gateway` at the same time. Returns the number of
/// admitted requests, that is, those for which an attempt started immediately.
int countAdmitted(int count, SimulatedFleet& fleet, std::uint32_t gateway, std::uint64_t customer = kCustomer,
                  std::uint32_t plan = kQuotaPlan, double units = 1) {
  int admitted = 0;
  for (int sent = 0; sent < count; ++sent)
    admitted += fleet.sendRequest(gateway, customer, plan, kMethod, units).attemptsStarted > 0;
  return admitted;
}

/// Sends one request every 10 ms for `steps` steps, to the first three gateways in turn. Returns the number
/// of admitted requests.
int countAdmittedInSteps(int steps, SimulatedFleet& fleet) {
  int admitted = 0;
  for (int step = 0; step < steps; ++step) {
    fleet.runFor(10ms);
    admitted += countAdmitted(1, fleet, static_cast<std::uint32_t>(step % 3));
  }
  return admitted;
}

/// Sends one request per `interval` for `steps` steps, from `customers` customers in turn and to the first
/// `gateways` gateways in turn.
void applyLoad(SimulatedFleet& fleet, int steps, Duration interval, int gateways, int customers) {
  for (int step = 0; step < steps; ++step) {
    fleet.runFor(interval);
    fleet.sendRequest(static_cast<std::uint32_t>(step % gateways),
                      kFirstCustomer + static_cast<std::uint64_t>(step % customers), kQuotaPlan, kMethod, 1);
  }
}

void setServiceTime(SimulatedFleet& fleet, Duration serviceTime) {
  for (SimulatedHost& host : fleet.hosts) host.serviceTime = serviceTime;
}

}  // namespace

TEST_CASE(
    "A gateway that knows nothing about a customer admits the burst divided by the number of gateways") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  CHECK(countAdmitted(12, fleet, 0) == 4);
}

TEST_CASE("Quota usage at one gateway reduces what the others admit after a counter exchange") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  countAdmitted(4, fleet, 0);
  fleet.runFor(1s);
  countAdmitted(12, fleet, 0);
  fleet.runFor(1s);
  countAdmitted(1, fleet, 1);
  fleet.runFor(50ms);
  CHECK(countAdmitted(12, fleet, 1) <= 8);
}

TEST_CASE("All gateways together admit about the quota of a customer that sends much more") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  const int admitted = countAdmittedInSteps(1000, fleet);
  CHECK(admitted >= 45);  // a burst of 12, and 4 a second for 10 s
  CHECK(admitted <= 62);
}

TEST_CASE(
    "Without the counter service each gateway admits its part of the quota, and afterwards they share it "
    "again") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  fleet.faults.counterCallLost = 1;
  int admitted = countAdmittedInSteps(1000, fleet);
  CHECK(admitted >= 40);
  CHECK(admitted <= 60);
  fleet.faults.counterCallLost = 0;
  admitted += countAdmittedInSteps(500, fleet);
  CHECK(admitted <= 85);
}

TEST_CASE("A counter service that restarts with empty counters does not grant a new burst") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  countAdmittedInSteps(300, fleet);
  fleet.counters.clear();
  fleet.runFor(500ms);
  int admitted = 0;
  for (std::uint32_t count = 0; count < 12; ++count) admitted += countAdmitted(1, fleet, count % 3);
  CHECK(admitted <= 6);
}

TEST_CASE("An idle customer causes no calls to the counter service") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  countAdmitted(1, fleet, 0);
  fleet.runFor(5s);
  const int callsBefore = fleet.counterCalls;
  fleet.runFor(60s);
  CHECK(fleet.counterCalls == callsBefore);
}

TEST_CASE("A concurrency limit bounds a customer's attempts in flight and admits more when they end") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  CHECK(countAdmitted(5, fleet, 0, kCustomer, kConcurrencyPlan) <= 2);
  fleet.runFor(100ms);
  CHECK(countAdmitted(1, fleet, 0, kCustomer, kConcurrencyPlan) == 1);
}

TEST_CASE("A rejected request is answered immediately") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  for (int count = 0; count < 20; ++count) fleet.sendRequest(0, kCustomer, kQuotaPlan, kMethod, 1);
  for (const auto& [id, request] : fleet.requests)
    CHECK((request.attemptsStarted > 0 || (request.rejected && request.answeredAt == request.arrivedAt)));
}

TEST_CASE("A request is rejected immediately if no host serves") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  for (SimulatedHost& host : fleet.hosts) host.serving = false;
  fleet.publishHosts();
  CHECK(fleet.sendRequest(0, kCustomer, kQuotaPlan, kMethod, 1).rejected);
}

TEST_CASE("Settings with one gateway, zero rates and no counter service violate no invariant") {
  PolicySettings settings = testPolicySettings();
  settings.hasCounter = GENERATE(true, false);
  settings.gateways = 1;
  settings.counterTimeout = 0ns;
  settings.slowStartTime = 0ns;
  settings.overloadWindow = 0ns;
  settings.plans[kQuotaPlan] = {};
  SimulatedFleet fleet(settings, kSeed);
  CHECK(countAdmitted(3, fleet, 0) == 3);
  fleet.runFor(5s);
  CHECK(fleet.invariants.violations == std::set<std::string>{});
}

TEST_CASE("Requests at an unresponsive host are cancelled and served by another host") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  setServiceTime(fleet, 30ms);
  fleet.applyUniformLoad(300);
  fleet.hosts[0].unresponsive = true;
  fleet.applyUniformLoad(300);
  fleet.runFor(3s);
  CHECK(fleet.hosts[0].attemptsReceived > 0);
  const auto unserved = std::count_if(fleet.requests.begin(), fleet.requests.end(), [](const auto& entry) {
    return entry.second.attemptsStarted > 0 && !entry.second.served;
  });
  CHECK(unserved <= 3);
}

TEST_CASE("Attempts in flight at a slow host are bounded by its response rate") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  setServiceTime(fleet, 400ms);  // the latency objective is 600 ms
  int maxInFlight = 0;
  for (std::uint64_t step = 0; step < 800; ++step) {
    fleet.runFor(10ms);
    for (std::uint32_t gateway = 0; gateway < 3; ++gateway)
      fleet.sendRequest(gateway, kFirstCustomer + step % 60, kQuotaPlan, kMethod, 1);
    for (const SimulatedHost& host : fleet.hosts) maxInFlight = std::max(maxInFlight, host.attemptsInFlight);
  }
  CHECK(maxInFlight <= 6);  // otherwise 3 gateways x 60 attempts
  CHECK(fleet.servedRequests() > 100);
}

TEST_CASE("Load shedding rejects the requests of the lowest priority first") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  setServiceTime(fleet, 250ms);
  int admittedLow = 0;
  int admittedHigh = 0;
  for (std::uint64_t step = 0; step < 800; ++step) {
    fleet.runFor(10ms);
    admittedLow += fleet.sendRequest(0, 100 + step % 80, kQuotaPlan, 0, 1).attemptsStarted > 0;
    admittedHigh += fleet.sendRequest(0, 300 + step % 80, kQuotaPlan, 1, 1).attemptsStarted > 0;
  }
  CHECK(admittedHigh > 2 * admittedLow);
}

TEST_CASE("A slow counter service is called less often, with at most one call in flight per customer") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  const auto callsIn = [&](int steps) {
    const int callsBefore = fleet.counterCalls;
    fleet.applyUniformLoad(steps);
    return fleet.counterCalls - callsBefore;
  };
  callsIn(300);
  const int callsWhileFast = callsIn(300);
  fleet.faults.counterResponseLate = 1;
  callsIn(300);
  CHECK(callsIn(300) < callsWhileFast / 4);
}

TEST_CASE(
    "A new customer's first request is admitted even if a gateway's part of the burst is below one unit") {
  PolicySettings settings = testPolicySettings();
  settings.plans[kQuotaPlan].burst = 2;
  SimulatedFleet fleet(settings, kSeed);
  CHECK(countAdmitted(3, fleet, 0) == 1);
}

TEST_CASE("A concurrency limit holds for all gateways together once they have exchanged their counts") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  setServiceTime(fleet, 400ms);
  constexpr int kSteps = 1000;
  constexpr int kMeasuredSteps = 500;
  double meanInFlight = 0;
  for (int step = 0; step < kSteps; ++step) {
    fleet.runFor(10ms);
    fleet.sendRequest(static_cast<std::uint32_t>(step % 3), kCustomer, kConcurrencyPlan, kMethod, 1);
    if (step < kSteps - kMeasuredSteps) continue;
    for (const SimulatedHost& host : fleet.hosts)
      meanInFlight += host.attemptsInFlight / static_cast<double>(kMeasuredSteps);
  }
  CHECK(meanInFlight < 3.5);  // otherwise 6: 2 at each of 3 gateways
  CHECK(meanInFlight > 1);
}

TEST_CASE("An unreachable counter service and its recovery are reported once each") {
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  applyLoad(fleet, 300, 10ms, 1, 5);
  fleet.faults.counterCallLost = 1;
  applyLoad(fleet, 1500, 10ms, 1, 5);
  fleet.faults.counterCallLost = 0;
  applyLoad(fleet, 1500, 10ms, 1, 5);
  std::erase_if(fleet.events, [](EngineEvent event) {
    return event != EngineEvent::counterUnreachable && event != EngineEvent::counterRestored;
  });
  REQUIRE(fleet.events.size() == 2);
  CHECK(fleet.events[0] == EngineEvent::counterUnreachable);
  CHECK(fleet.events[1] == EngineEvent::counterRestored);
}

TEST_CASE("The initial call rate to the counter service is bounded for all gateways together") {
  constexpr std::uint32_t kGateways = 60;
  SimulatedFleet fleet(testPolicySettings(kGateways), kSeed);
  for (std::uint32_t step = 0; step < 100; ++step) {
    fleet.runFor(10ms);
    for (std::uint32_t gateway = 0; gateway < kGateways; ++gateway)
      fleet.sendRequest(gateway, kFirstCustomer + (step * kGateways + gateway) % 977, kQuotaPlan, kMethod, 1);
  }
  CHECK(fleet.counterCalls > 60);
  CHECK(fleet.counterCalls < 1000);  // 4800 if each started at the rate for a fleet of three
}

TEST_CASE("A host that returns does not get a request from every gateway at the same time") {
  PolicySettings settings = testPolicySettings();
  settings.gateways = 40;
  settings.slowStartTime = 0ns;  // so that only host selection distributes the requests
  SimulatedFleet fleet(settings, kSeed);
  applyLoad(fleet, 2000, 25ms, 40, 300);
  fleet.hosts[0].startedAt = fleet.now;
  fleet.publishHosts();
  fleet.hosts[0].attemptsReceived = 0;
  applyLoad(fleet, 40, 25ms, 40, 300);  // one request from each gateway
  CHECK(fleet.hosts[0].attemptsReceived > 0);
  CHECK(fleet.hosts[0].attemptsReceived < 20);
}

TEST_CASE("Attempts in flight at slow hosts are bounded, however many gateways there are") {
  constexpr std::uint32_t kGateways = 60;
  SimulatedFleet fleet(testPolicySettings(kGateways), kSeed);
  setServiceTime(fleet, 550ms);
  int maxInFlight = 0;
  for (std::uint32_t step = 0; step < 1500; ++step) {
    fleet.runFor(2ms);
    fleet.sendRequest(step % kGateways, kFirstCustomer + step, kQuotaPlan, kMethod, 1);
    int inFlight = 0;
    for (const SimulatedHost& host : fleet.hosts) inFlight += host.attemptsInFlight;
    maxInFlight = std::max(maxInFlight, inFlight);
  }
  CHECK(maxInFlight < 150);  // otherwise 360: one at each host from each gateway
  CHECK(fleet.servedRequests() > 100);
}

TEST_CASE("A host that fails one method or rejects one plan still gets the other requests") {
  const bool rejectsPlan = GENERATE(true, false);
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  SimulatedHost& host = fleet.hosts[0];
  (rejectsPlan ? host.rejectedPlan : host.failingMethod) = 0;
  int affectedAttempts = 0;
  int otherAttempts = 0;
  for (std::uint32_t step = 0; step < 2000; ++step) {
    fleet.runFor(10ms);
    const std::uint32_t unaffected = step % 2;
    const std::uint32_t plan = rejectsPlan ? 2 * unaffected : 0;
    const std::uint32_t method = rejectsPlan ? 0 : unaffected;
    const int receivedBefore = host.attemptsReceived;
    fleet.sendRequest(step % 3, kFirstCustomer + step % 80, plan, method, 1);
    (unaffected ? otherAttempts : affectedAttempts) += host.attemptsReceived - receivedBefore;
  }
  CHECK(otherAttempts > 50);
  CHECK(affectedAttempts < otherAttempts / 3);
}

TEST_CASE("A customer of many gateways gets about its quota, and is admitted while it sends less than that") {
  constexpr int kGateways = 40;
  SimulatedFleet fleet(testPolicySettings(kGateways), kSeed);
  const auto admittedOver = [&](int requests, Duration interval, std::uint64_t customer) {
    int admitted = 0;
    for (int count = 0; count < requests; ++count) {
      const int gateway = (count * 17 + count / kGateways) % kGateways;
      admitted += countAdmitted(1, fleet, static_cast<std::uint32_t>(gateway), customer, kQuotaPlan, 4);
      fleet.runFor(interval);
    }
    return admitted;
  };
  CHECK(admittedOver(34, 3s, 5) >= 30);  // a third of its quota
  const int admittedAboveQuota = admittedOver(400, 250ms, 6);
  CHECK(admittedAboveQuota >= 50);
  CHECK(admittedAboveQuota <= 240);  // the quota allows 103, and each gateway admits a first request
}

TEST_CASE("Loads that hosts report count towards utilization, and absurd reports violate no invariant") {
  const auto report = GENERATE(LoadReport{40, {}, {}, 20, {}}, LoadReport{0, {}, {}, 0, {}},
                               LoadReport{-5, {}, {}, -1e300, {}}, LoadReport{1e300, {}, {}, 0, {}});
  SimulatedFleet fleet(testPolicySettings(), kSeed);
  for (SimulatedHost& host : fleet.hosts) host.reportedLoad = report;
  int admitted = 0;
  for (std::uint32_t step = 0; step < 300; ++step) {
    fleet.runFor(10ms);
    admitted += countAdmitted(1, fleet, step % 3, kFirstCustomer + step % 80);
  }
  CHECK(admitted > 0);
  CHECK((*report.inFlight > 1) == (admitted < 200));
  CHECK(fleet.invariants.violations == std::set<std::string>{});
}

TEST_CASE(
    "An overloaded host does not make the others look overloaded, and gets less until its queue is shorter") {
  SimulatedFleet fleet(testPolicySettings(40), kSeed);
  for (SimulatedHost& host : fleet.hosts) host.reportedLoad = {2, 0, {}, 40, {}};
  fleet.hosts[0].serviceTime = 400ms;
  fleet.hosts[0].reportedLoad = {60, 40, {}, 2, {}};
  applyLoad(fleet, 2000, 10ms, 40, 300);
  fleet.hosts[0].attemptsReceived = 0;
  const int servedBefore = fleet.servedRequests();
  applyLoad(fleet, 2000, 10ms, 40, 300);
  CHECK(fleet.servedRequests() - servedBefore > 1900);
  CHECK(fleet.hosts[0].attemptsReceived < 80);  // otherwise several hundred; the host answers 40
}

TEST_CASE("An unreachable host is tried less and less often, and immediately again when it returns") {
  SimulatedFleet fleet(testPolicySettings(40), kSeed);
  SimulatedHost& host = fleet.hosts[0];
  const auto attemptsAtHost = [&](int steps) {
    const int receivedBefore = host.attemptsReceived;
    applyLoad(fleet, steps, 10ms, 40, 300);
    return host.attemptsReceived - receivedBefore;
  };
  attemptsAtHost(500);
  host.unreachable = true;
  attemptsAtHost(3000);
  CHECK(attemptsAtHost(3000) < 150);  // with a constant ejection of 1 s, about 400
  host.unreachable = false;
  host.startedAt = fleet.now - fleet.settings.slowStartTime;
  fleet.publishHosts();
  CHECK(attemptsAtHost(1000) > 100);
}
