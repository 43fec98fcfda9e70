#include "emulator/faults/fault_schedule.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

#include "emulator/gateway_fleet.hpp"
#include "emulator/host_fleet.hpp"
#include "emulator/run_context.hpp"

namespace merlinbridge::emulator {
namespace {

/// Flags that are set for a random choice of that share of `count` items.
std::vector<char> chooseShare(std::size_t count, double share, RandomStream& random) {
  std::vector<std::uint32_t> order(count);
  std::iota(order.begin(), order.end(), 0u);
  for (std::size_t i = count; i > 1; --i) std::swap(order[i - 1], order[random.below(i)]);
  std::vector<char> chosen(count, 0);
  const auto wanted = static_cast<std::size_t>(std::llround(share * double(count)));
  for (std::size_t i = 0; i < std::min(count, wanted); ++i) chosen[order[i]] = 1;
  return chosen;
}

}  // namespace

void FaultSchedule::start() {
  const Scenario& scenario = targets_.run.scenario();
  for (std::size_t number = 0; number < scenario.faults.size(); ++number) {
    const Fault& fault = scenario.faults[number];
    effects_.push_back(makeFaultEffect(fault.kind));
    RandomStream random(seed_, fmt::format("fault {}", number));
    const TimePoint from = kRunStart + durationFromSeconds(random.between(fault.from.min, fault.from.max));
    const Duration duration = durationFromSeconds(random.between(fault.duration.min, fault.duration.max));
    targets_.run.events().at(from,
                             [this, number, random, duration]() mutable { begin(number, random, duration); });
  }
}

void FaultSchedule::begin(std::size_t number, RandomStream& random, Duration duration) {
  const Scenario& scenario = targets_.run.scenario();
  const FaultEffect& effect = *effects_[number];
  ActiveFault active;
  active.fault = &scenario.faults[number];
  active.zone = static_cast<std::uint32_t>(random.below(scenario.zones));
  active.affected = effect.targetKind() == FaultEffect::TargetKind::gateways
                        ? chooseGateways(active.fault->share, random)
                        : chooseHosts(active.fault->share, random);
  targets_.run.trace(TraceEvent::faultBegan, number);
  effect.begin(targets_, active, duration);
  active_.add(number, std::move(active));
  targets_.run.events().after(duration, [this, number] { end(number); });
}

void FaultSchedule::end(std::size_t number) {
  const ActiveFault ended = active_.remove(number);
  targets_.run.trace(TraceEvent::faultEnded, number);
  effects_[number]->end(targets_, ended);
}

std::vector<char> FaultSchedule::chooseGateways(double share, RandomStream& random) const {
  return chooseShare(targets_.gateways.size(), share, random);
}

// Hosts that are down or draining are not chosen: the fault would have no effect on them.
std::vector<char> FaultSchedule::chooseHosts(double share, RandomStream& random) const {
  const HostFleet& hosts = targets_.hosts;
  std::vector<std::uint32_t> serving;
  for (std::uint32_t host = 0; host < hosts.size(); ++host)
    if (hosts.isUp(host) && !hosts.isDraining(host)) serving.push_back(host);
  const std::vector<char> chosen = chooseShare(serving.size(), share, random);
  std::vector<char> affected(hosts.size(), 0);
  for (std::size_t i = 0; i < serving.size(); ++i) affected[serving[i]] = chosen[i];
  return affected;
}

}  // namespace merlinbridge::emulator
