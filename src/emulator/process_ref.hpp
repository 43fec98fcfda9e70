#pragma once

#include <cstdint>

#include "gateway_core/slot_table.hpp"

namespace merlinbridge::emulator {

/// Identifies one incarnation of a gateway process. Messages that arrive for an earlier one are ignored.
struct ProcessRef {
  std::uint32_t gateway = 0;
  std::uint64_t incarnation = 0;
  bool operator==(const ProcessRef&) const = default;
};

/// Identifies one attempt, or one call to the counter service, of a gateway process.
struct ProcessSlot {
  ProcessRef process;
  core::SlotRef slot;
};

}  // namespace merlinbridge::emulator
