#pragma once

#include "emulator/faults/fault_effect.hpp"

namespace merlinbridge::emulator {

/// Kills a share of the gateways at once; they restart when the fault ends.
class GatewayKill final : public FaultEffect {
 public:
  GatewayKill() : FaultEffect(TargetKind::gateways) {}
  void begin(const FaultTargets&, ActiveFault&, Duration) const override;
  void end(const FaultTargets&, const ActiveFault&) const override;
};

/// Shuts down a share of the gateways in steps over the duration of the fault; each drains and restarts.
class GatewayRestart final : public FaultEffect {
 public:
  GatewayRestart() : FaultEffect(TargetKind::gateways) {}
  void begin(const FaultTargets&, ActiveFault&, Duration duration) const override;
};

}  // namespace merlinbridge::emulator
