#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <vector>

#include "emulator/network.hpp"
#include "emulator/process_ref.hpp"
#include "emulator/run_context.hpp"

namespace merlinbridge::emulator {

/// Receives the results of counter calls.
class CounterCaller {
 public:
  virtual ~CounterCaller() = default;
  /// The response to a call has arrived at the gateway. `total`: the count after the call, if the outcome is
  /// ok.
  virtual void counterCallEnded(const ProcessSlot& call, CounterCallOutcome, double total) = 0;
};

/// The counter service: keeps expiring counts by key. The counts are split by customer into partitions, each
/// of which processes one call at a time. A call is refused if the queue of its partition is full.
class CounterService {
 public:
  struct Call {
    ProcessSlot caller;
    CounterKey key;
    double units = 0;
    Duration keepFor{};
  };

  /// All arguments must outlive the service.
  CounterService(RunContext&, Network&, const ActiveFaults&, CounterCaller&);

  /// A call has arrived from a gateway.
  void callArrived(const Call&);
  /// Deletes all counts.
  void clear();
  /// Deletes the counts of the second replica, which some of the gateways reach during
  /// FaultKind::counterSplit.
  void clearSplitReplica() { splitReplica().counts.clear(); }

 private:
  struct Count {
    double units = 0;
    TimePoint expiresAt;
  };
  struct Replica {
    std::map<CounterKey, Count> counts;
    std::vector<TimePoint> busyUntil;  ///< By partition.
    std::size_t sweepAt = kMinSweepSize;
  };
  static constexpr std::size_t kMinSweepSize = 4096;

  Replica& splitReplica() { return replicas_[1]; }
  void serve(Replica&, const Call&);
  void answer(const ProcessSlot& caller, CounterCallOutcome, double total);

  RunContext& run_;
  Network& network_;
  const ActiveFaults& faults_;
  CounterCaller& caller_;
  std::array<Replica, 2> replicas_;
};

}  // namespace merlinbridge::emulator
