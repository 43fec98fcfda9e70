#include "emulator/counter_service.hpp"

#include <algorithm>

namespace merlinbridge::emulator {

CounterService::CounterService(RunContext& run, Network& network, const ActiveFaults& faults,
                               CounterCaller& caller)
    : run_(run), network_(network), faults_(faults), caller_(caller) {
  for (Replica& replica : replicas_)
    replica.busyUntil.assign(static_cast<std::size_t>(run.scenario().counterPartitions), kRunStart);
}

void CounterService::callArrived(const Call& call) {
  const Scenario& scenario = run_.scenario();
  Replica& replica = replicas_[faults_.affects(FaultKind::counterSplit, call.caller.process.gateway) ? 1 : 0];
  if (faults_.any(FaultKind::counterDown)) return;
  const Duration service = scaled(scenario.counterServiceTime, faults_.factor(FaultKind::counterSlow));
  TimePoint& busyUntil = replica.busyUntil[call.key.customer.value % replica.busyUntil.size()];
  const TimePoint now = run_.now();
  if (busyUntil > now + scenario.counterQueueCapacity * service)
    return answer(call.caller, CounterCallOutcome::notAdded, 0);
  busyUntil = std::max(busyUntil, now) + service;
  run_.events().at(busyUntil, [this, &replica, call] { serve(replica, call); });
}

void CounterService::serve(Replica& replica, const Call& call) {
  const TimePoint now = run_.now();
  Count& count = replica.counts.try_emplace(call.key, Count{0, now + call.keepFor}).first->second;
  if (count.expiresAt < now) count = {0, now + call.keepFor};
  count.units += call.units;
  const double total = count.units;
  if (replica.counts.size() > replica.sweepAt) {
    std::erase_if(replica.counts, [now](const auto& entry) { return entry.second.expiresAt < now; });
    replica.sweepAt = std::max(kMinSweepSize, 2 * replica.counts.size());
  }
  if (!network_.losesCounterResponse()) answer(call.caller, CounterCallOutcome::ok, total);
}

void CounterService::answer(const ProcessSlot& caller, CounterCallOutcome outcome, double total) {
  run_.events().after(network_.delay(),
                      [this, caller, outcome, total] { caller_.counterCallEnded(caller, outcome, total); });
}

void CounterService::clear() {
  for (Replica& replica : replicas_) replica.counts.clear();
}

}  // namespace merlinbridge::emulator
