#pragma once

#include "emulator/faults/fault_effect.hpp"

namespace merlinbridge::emulator {

/// Kills a share of the gateways at once; they start again when the fault ends.
class GatewayKill final : public FaultEffect {
 public:
  GatewayKill() : FaultEffect(TargetKind::gateways) {}
  void begin(const FaultTargets&, ActiveFault&, Duration) const override;
  void end(const FaultTargets&, const ActiveFault&) const override;
};

/// Shuts a share of the gateways down in steps over the time of the fault; each drains and starts again.
class GatewayRestart final : public FaultEffect {
 public:
  GatewayRestart() : FaultEffect(TargetKind::gateways) {}
  void begin(const FaultTargets&, ActiveFault&, Duration duration) const override;
};

}  // namespace merlinbridge::emulator
