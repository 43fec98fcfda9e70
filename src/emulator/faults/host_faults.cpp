#include "emulator/faults/host_faults.hpp"

#include "emulator/discovery_service.hpp"
#include "emulator/faults/affected.hpp"
#include "emulator/host_fleet.hpp"
#include "emulator/run_context.hpp"

namespace merlinbridge::emulator {
namespace {

/// Delay after which the invariant checker drops a removed host; by then no gateway refers to it any more.
constexpr Duration kForgetAfter = std::chrono::seconds(30);

void removeDrained(const FaultTargets& targets, std::uint32_t host) {
  targets.hosts.remove(host);
  targets.discovery.publish({host});
  targets.run.events().after(kForgetAfter, [&run = targets.run, host] { run.checker().hostRemoved({host}); });
}

void replace(const FaultTargets& targets, const std::vector<std::uint32_t>& hosts) {
  std::vector<std::uint32_t> changed;
  const Scenario& scenario = targets.run.scenario();
  for (const std::uint32_t host : hosts) {
    if (targets.hosts.isRemoved(host)) continue;
    changed.push_back(targets.hosts.add(targets.hosts.zoneOf(host), HostFleet::Start::now));
    targets.hosts.beginDrain(host);
    changed.push_back(host);
    targets.run.events().after(scenario.drainGrace + scenario.longestDeadline(),
                               [targets, host] { removeDrained(targets, host); });
  }
  if (!changed.empty()) targets.discovery.publish(changed);
}

}  // namespace

void HostKill::begin(const FaultTargets& targets, ActiveFault& active, Duration) const {
  for (const std::uint32_t host : affectedNumbers(active)) targets.hosts.kill(host);
}

void HostKill::end(const FaultTargets& targets, const ActiveFault& active) const {
  for (const std::uint32_t host : affectedNumbers(active)) {
    if (!targets.hosts.isDown(host)) continue;
    targets.hosts.start(host);
    targets.discovery.publish({host});
  }
}

void ZoneLoss::begin(const FaultTargets& targets, ActiveFault& active, Duration duration) const {
  for (std::uint32_t host = 0; host < targets.hosts.size(); ++host) {
    const bool lost = targets.hosts.zoneOf(host) == active.zone && targets.hosts.isUp(host);
    active.affected[host] = lost ? 1 : 0;
  }
  HostKill::begin(targets, active, duration);
}

void HostHang::end(const FaultTargets& targets, const ActiveFault& active) const {
  for (const std::uint32_t host : affectedNumbers(active)) targets.hosts.resume(host);
}

void HostReplace::begin(const FaultTargets& targets, ActiveFault& active, Duration duration) const {
  const std::vector<std::uint32_t> hosts = affectedNumbers(active);
  const int steps = active.fault->steps;
  for (int step = 0; step < steps; ++step) {
    std::vector<std::uint32_t> replaced;
    for (std::size_t i = 0; i < hosts.size(); ++i)
      if (stepOf(i, hosts.size(), steps) == step) replaced.push_back(hosts[i]);
    targets.run.events().after(duration * step / steps, [targets, replaced] { replace(targets, replaced); });
  }
}

}  // namespace merlinbridge::emulator
