#pragma once

#include <cstdint>
#include <vector>

#include "emulator/faults/active_faults.hpp"

namespace merlinbridge::emulator {

/// The numbers of the gateways or hosts that a fault affects, in ascending order.
inline std::vector<std::uint32_t> affectedNumbers(const ActiveFault& active) {
  std::vector<std::uint32_t> numbers;
  for (std::uint32_t number = 0; number < active.affected.size(); ++number)
    if (active.affects(number)) numbers.push_back(number);
  return numbers;
}

/// The step, from 0 to `steps` - 1, in which the item at `index` of `count` items is handled.
inline int stepOf(std::size_t index, std::size_t count, int steps) {
  return static_cast<int>(index * static_cast<std::size_t>(steps) / count);
}

}  // namespace merlinbridge::emulator
