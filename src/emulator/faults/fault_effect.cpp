#include "emulator/faults/fault_effect.hpp"

#include "emulator/faults/counter_faults.hpp"
#include "emulator/faults/gateway_faults.hpp"
#include "emulator/faults/host_faults.hpp"

namespace merlinbridge::emulator {

std::unique_ptr<const FaultEffect> makeFaultEffect(FaultKind kind) {
  switch (kind) {
    case FaultKind::gatewayKill:
      return std::make_unique<GatewayKill>();
    case FaultKind::gatewayRestart:
      return std::make_unique<GatewayRestart>();
    case FaultKind::hostKill:
      return std::make_unique<HostKill>();
    case FaultKind::hostHang:
      return std::make_unique<HostHang>();
    case FaultKind::hostReplace:
      return std::make_unique<HostReplace>();
    case FaultKind::zoneLoss:
      return std::make_unique<ZoneLoss>();
    case FaultKind::counterEmpty:
      return std::make_unique<CounterEmpty>();
    case FaultKind::counterSplit:
      return std::make_unique<CounterSplit>();
    case FaultKind::discoveryRefuse:
      return std::make_unique<FaultEffect>(FaultEffect::TargetKind::gateways);
    default:
      return std::make_unique<FaultEffect>(FaultEffect::TargetKind::hosts);
  }
}

}  // namespace merlinbridge::emulator
