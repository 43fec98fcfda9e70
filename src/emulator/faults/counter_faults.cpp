#include "emulator/faults/counter_faults.hpp"

#include "emulator/counter_service.hpp"

namespace merlinbridge::emulator {

void CounterEmpty::begin(const FaultTargets& targets, ActiveFault&, Duration) const {
  targets.counter.clear();
}

void CounterSplit::begin(const FaultTargets& targets, ActiveFault&, Duration) const {
  targets.counter.clearSplitReplica();
}

}  // namespace merlinbridge::emulator
