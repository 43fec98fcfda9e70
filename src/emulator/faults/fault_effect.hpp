#pragma once

#include <memory>

#include "emulator/faults/active_faults.hpp"

namespace merlinbridge::emulator {

class CounterService;
class DiscoveryService;
class GatewayFleet;
class HostFleet;
class RunContext;

/// The parts of a run that faults act on.
struct FaultTargets {
  RunContext& run;
  GatewayFleet& gateways;
  HostFleet& hosts;
  CounterService& counter;
  DiscoveryService& discovery;
};

/// The actions of a kind of fault when it begins and ends. This base class does nothing: it serves the kinds
/// whose whole effect comes from the affected parts querying ActiveFaults.
class FaultEffect {
 public:
  enum class TargetKind { gateways, hosts };

  explicit FaultEffect(TargetKind targetKind) : targetKind_(targetKind) {}
  virtual ~FaultEffect() = default;

  /// Whether the fault's share is of the gateways or of the hosts.
  TargetKind targetKind() const { return targetKind_; }
  /// Called when the fault begins, before it is in effect. May change which hosts are affected.
  virtual void begin(const FaultTargets&, ActiveFault&, Duration /*duration*/) const {}
  /// Called when the fault has ended and is no longer in effect.
  virtual void end(const FaultTargets&, const ActiveFault&) const {}

 private:
  TargetKind targetKind_;
};

std::unique_ptr<const FaultEffect> makeFaultEffect(FaultKind);

}  // namespace merlinbridge::emulator
