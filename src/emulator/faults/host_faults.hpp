#pragma once

#include "emulator/faults/fault_effect.hpp"

namespace merlinbridge::emulator {

/// Kills a share of the hosts at once; they start again, cold, when the fault ends.
class HostKill : public FaultEffect {
 public:
  HostKill() : FaultEffect(TargetKind::hosts) {}
  void begin(const FaultTargets&, ActiveFault&, Duration) const override;
  void end(const FaultTargets&, const ActiveFault&) const override;
};

/// Kills all hosts of one zone, whatever the fault's share; they start again as after HostKill.
class ZoneLoss final : public HostKill {
 public:
  void begin(const FaultTargets&, ActiveFault&, Duration) const override;
};

/// Hosts take requests and answer none while the fault is in effect. After it they go on with what they hold.
class HostHang final : public FaultEffect {
 public:
  HostHang() : FaultEffect(TargetKind::hosts) {}
  void end(const FaultTargets&, const ActiveFault&) const override;
};

/// Replaces a share of the hosts by new, cold ones, in steps over the time of the fault; the old ones drain
/// and are removed once their last requests must be over.
class HostReplace final : public FaultEffect {
 public:
  HostReplace() : FaultEffect(TargetKind::hosts) {}
  void begin(const FaultTargets&, ActiveFault&, Duration duration) const override;
};

}  // namespace merlinbridge::emulator
