#pragma once

#include <cstddef>
#include <functional>

#include "emulator/scenario.hpp"

namespace merlinbridge::lab {

/// Plays a scenario and returns whether it shows the behaviour that shrink() has to preserve.
using ScenarioPredicate = std::function<bool(const emulator::Scenario&)>;

/// The result of shrink().
struct ShrunkScenario {
  emulator::Scenario scenario;
  std::size_t runs = 0;  ///< Number of scenarios that were played.
};

/// Reduces a scenario that shows a behaviour to a smaller one that still shows it: removes faults, methods
/// and plans one by one and halves numbers and times, in a fixed order, until no step succeeds or `maxRuns`
/// scenarios were played. Throws LabError if the unmodified scenario does not show the behaviour.
ShrunkScenario shrink(const emulator::Scenario&, const ScenarioPredicate&, std::size_t maxRuns);

}  // namespace merlinbridge::lab
