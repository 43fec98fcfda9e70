#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <vector>

#include "emulator/network.hpp"
#include "emulator/process_ref.hpp"
#include "emulator/run_context.hpp"

namespace merlinbridge::emulator {

/// What the counter service asks of the gateways.
class CounterCaller {
 public:
  virtual ~CounterCaller() = default;
  /// The answer to a call has arrived at the gateway. `total`: of the count after the call, if the outcome is
  /// ok.
  virtual void counterCallEnded(const ProcessSlot& call, CounterCallOutcome, double total) = 0;
};

/// The counter service: counts by key that expire, kept in parts that each serve one call after another. A
/// call that finds its part's queue full is refused.
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
  /// Forgets all counts.
  void clear();
  /// Forgets the counts of the second service, which a part of the gateways reaches in
  /// FaultKind::counterSplit.
  void clearSplitReplica() { splitReplica().counts.clear(); }

 private:
  struct Count {
    double units = 0;
    TimePoint expiresAt;
  };
  struct Replica {
    std::map<CounterKey, Count> counts;
    std::vector<TimePoint> busyUntil;  ///< By part.
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
