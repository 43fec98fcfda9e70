#pragma once

#include <cstdint>
#include <memory>
#include <vector>

#include "emulator/faults/active_faults.hpp"
#include "emulator/faults/fault_effect.hpp"
#include "emulator/random_stream.hpp"

namespace merlinbridge::emulator {

/// Begins and ends the scenario's faults. Each fault has its own random stream for its times and for what it
/// affects, so that every policy runs against the same faults.
class FaultSchedule {
 public:
  /// Targets and active faults must outlive the schedule.
  FaultSchedule(const FaultTargets& targets, std::uint64_t seed, ActiveFaults& active)
      : targets_(targets), seed_(seed), active_(active) {}

  /// Chooses the random times of all faults and schedules them. Called once.
  void start();

 private:
  void begin(std::size_t number, RandomStream&, Duration duration);
  void end(std::size_t number);
  std::vector<char> chooseGateways(double share, RandomStream&) const;
  std::vector<char> chooseHosts(double share, RandomStream&) const;

  const FaultTargets targets_;
  const std::uint64_t seed_;
  ActiveFaults& active_;
  std::vector<std::unique_ptr<const FaultEffect>> effects_;  ///< By number of the fault in the scenario.
};

}  // namespace merlinbridge::emulator
