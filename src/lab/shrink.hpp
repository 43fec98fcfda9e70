#pragma once

#include <functional>
#include <optional>

#include "lab/table.hpp"

namespace merlinbridge::lab {

/// Plays a scenario and says whether it still shows what is looked for.
using Shows = std::function<bool(const emulator::Scenario&)>;

/// The smallest scenario found that still shows it: faults, methods and plans are left out one by one, and
/// numbers and times halved, for as long as something can go. `tried` counts the plays. Throws Unfit where
/// the scenario does not show it to begin with.
emulator::Scenario shrink(const emulator::Scenario&, const Shows&, std::size_t most, std::size_t& tried);

}  // namespace merlinbridge::lab
