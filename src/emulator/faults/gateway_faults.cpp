#include "emulator/faults/gateway_faults.hpp"

#include "emulator/faults/affected.hpp"
#include "emulator/gateway_fleet.hpp"

namespace merlinbridge::emulator {

void GatewayKill::begin(const FaultTargets& targets, ActiveFault& active, Duration) const {
  for (const std::uint32_t gateway : affectedNumbers(active)) targets.gateways.kill(gateway);
}

void GatewayKill::end(const FaultTargets& targets, const ActiveFault& active) const {
  for (const std::uint32_t gateway : affectedNumbers(active)) targets.gateways.startIfDown(gateway);
}

void GatewayRestart::begin(const FaultTargets& targets, ActiveFault& active, Duration duration) const {
  const std::vector<std::uint32_t> gateways = affectedNumbers(active);
  const int steps = active.fault->steps;
  for (std::size_t i = 0; i < gateways.size(); ++i)
    targets.run.events().after(
        duration * stepOf(i, gateways.size(), steps) / steps,
        [&fleet = targets.gateways, gateway = gateways[i]] { fleet.beginShutdown(gateway); });
}

}  // namespace merlinbridge::emulator
