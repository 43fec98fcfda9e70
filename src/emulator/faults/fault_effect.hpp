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

/// What a kind of fault does when it begins and ends. This base class does nothing: it is for the kinds whose
/// whole effect is that the parts concerned ask ActiveFaults for it.
class FaultEffect {
 public:
  enum class TargetKind { gateways, hosts };

  explicit FaultEffect(TargetKind targetKind) : targetKind_(targetKind) {}
  virtual ~FaultEffect() = default;

  /// What the fault's share is of.
  TargetKind targetKind() const { return targetKind_; }
  /// The fault begins; it is not in effect yet. May change which hosts are affected.
  virtual void begin(const FaultTargets&, ActiveFault&, Duration /*duration*/) const {}
  /// The fault has ended and is not in effect any more.
  virtual void end(const FaultTargets&, const ActiveFault&) const {}

 private:
  TargetKind targetKind_;
};

std::unique_ptr<const FaultEffect> makeFaultEffect(FaultKind);

}  // namespace merlinbridge::emulator
