#include "emulator/counter_service.hpp"
#include "emulator/discovery_service.hpp"
#include "emulator/faults/fault_schedule.hpp"
#include "emulator/gateway_fleet.hpp"
#include "emulator/host_fleet.hpp"
#include "emulator/metrics.hpp"

namespace merlinbridge::emulator {
namespace {

/// A run goes on for this long after the last request's deadline, so that messages in flight arrive.
constexpr Duration kRunOut = std::chrono::seconds(2);

/// Builds the parts of a run and runs it.
class Run {
 public:
  Run(const Scenario& scenario, std::uint64_t seed, Policy policy, const GatewayFactory& factory)
      : context_(scenario),
        network_(scenario, seed, activeFaults_),
        front_(scenario),
        gateways_(seed, policy, factory),
        clients_(context_, seed, network_, activeFaults_, front_, gateways_),
        hosts_(context_, seed, activeFaults_, gateways_),
        counter_(context_, network_, activeFaults_, gateways_),
        discovery_(context_, seed, activeFaults_, hosts_, gateways_),
        faults_({context_, gateways_, hosts_, counter_, discovery_}, seed, activeFaults_) {}

  Metrics play() {
    const Scenario& scenario = context_.scenario();
    for (std::uint32_t host = 0; host < scenario.hosts; ++host)
      hosts_.add(host % scenario.zones, HostFleet::Start::longBeforeRun);
    gateways_.startAll({context_, network_, front_, clients_, hosts_, counter_, discovery_});
    faults_.start();
    clients_.start();
    const TimePoint until = kRunStart + scenario.length + scenario.longestDeadline() + kRunOut;
    while (context_.events().step(until)) ++context_.metrics().events;
    return finish();
  }

 private:
  // Adds the invariant checker's results. The times of violations count from the start of the run.
  Metrics finish() {
    InvariantChecker& checker = context_.checker();
    checker.finish(context_.now());
    Metrics metrics = std::move(context_.metrics());
    metrics.unitsSent = checker.unitsSent();
    metrics.unitsOverQuota = checker.unitsOverQuota();
    metrics.worstWindow = checker.worstWindow();
    metrics.peakSlowStartLoad = checker.peakSlowStartLoad();
    for (std::size_t rule = 0; rule < kInvariantCount; ++rule)
      metrics.violations[rule] = checker.count(static_cast<Invariant>(rule));
    metrics.firstViolations = checker.firstViolations();
    for (Violation& violation : metrics.firstViolations) violation.at = TimePoint(violation.at - kRunStart);
    return metrics;
  }

  RunContext context_;
  ActiveFaults activeFaults_;
  Network network_;
  FrontLoadBalancer front_;
  GatewayFleet gateways_;
  ClientPopulation clients_;
  HostFleet hosts_;
  CounterService counter_;
  DiscoveryService discovery_;
  FaultSchedule faults_;
};

}  // namespace

Metrics play(const Scenario& scenario, std::uint64_t seed, Policy policy, const GatewayFactory& gateway) {
  return Run(scenario, seed, policy, gateway).play();
}

}  // namespace merlinbridge::emulator
