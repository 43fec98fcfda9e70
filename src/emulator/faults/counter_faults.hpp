#pragma once

#include "emulator/faults/fault_effect.hpp"

namespace merlinbridge::emulator {

/// The counter service loses all its counts when the fault begins.
class CounterEmpty final : public FaultEffect {
 public:
  CounterEmpty() : FaultEffect(TargetKind::hosts) {}
  void begin(const FaultTargets&, ActiveFault&, Duration) const override;
};

/// A share of the gateways reaches a second counter service, which is empty when the fault begins.
class CounterSplit final : public FaultEffect {
 public:
  CounterSplit() : FaultEffect(TargetKind::gateways) {}
  void begin(const FaultTargets&, ActiveFault&, Duration) const override;
};

}  // namespace merlinbridge::emulator
