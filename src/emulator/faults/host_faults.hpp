#pragma once

#include "emulator/faults/fault_effect.hpp"

namespace merlinbridge::emulator {

/// Kills a share of the hosts at once; they restart, in slow start, when the fault ends.
class HostKill : public FaultEffect {
 public:
  HostKill() : FaultEffect(TargetKind::hosts) {}
  void begin(const FaultTargets&, ActiveFault&, Duration) const override;
  void end(const FaultTargets&, const ActiveFault&) const override;
};

/// Kills all hosts of one zone, regardless of the fault's share; they restart as after HostKill.
class ZoneLoss final : public HostKill {
 public:
  void begin(const FaultTargets&, ActiveFault&, Duration) const override;
};

/// Hosts accept requests but do not respond while the fault is in effect, and then resume the requests they
/// hold.
class HostHang final : public FaultEffect {
 public:
  HostHang() : FaultEffect(TargetKind::hosts) {}
  void end(const FaultTargets&, const ActiveFault&) const override;
};

/// Replaces a share of the hosts by new ones, which begin in slow start, in steps over the duration of the
/// fault. The old hosts drain and are removed once the deadlines of their last requests have passed.
class HostReplace final : public FaultEffect {
 public:
  HostReplace() : FaultEffect(TargetKind::hosts) {}
  void begin(const FaultTargets&, ActiveFault&, Duration duration) const override;
};

}  // namespace merlinbridge::emulator
