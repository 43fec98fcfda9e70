#pragma once

#include <cstddef>
#include <functional>

#include "emulator/scenario.hpp"

namespace merlinbridge::lab {

/// Plays a scenario and says whether it still shows the behaviour that is looked for.
using ScenarioPredicate = std::function<bool(const emulator::Scenario&)>;

/// The result of shrink().
struct ShrunkScenario {
  emulator::Scenario scenario;
  std::size_t runs = 0;  ///< Emulated runs that it took.
};

/// The smallest scenario found that still shows the behaviour: leaves out faults, methods and plans one by
/// one and halves numbers and times, in a fixed order, until nothing more can go or `maxRuns` plays are used
/// up. Throws LabError if the scenario does not show the behaviour to begin with.
ShrunkScenario shrink(const emulator::Scenario&, const ScenarioPredicate&, std::size_t maxRuns);

}  // namespace merlinbridge::lab
