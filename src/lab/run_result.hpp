#pragma once

#include <cstdint>
#include <string>

#include "emulator/metrics.hpp"
#include "lab/result_table.hpp"

/// A run and its output formats.
namespace merlinbridge::lab {

/// The input of one run.
struct Run {
  emulator::Scenario scenario;
  FieldValues fields;  ///< Changes already applied to the scenario; kept for the table.
  std::uint64_t seed = 1;
  emulator::Policy policy = emulator::Policy::gatewayCore;
};

/// The run's row in a result table.
Row rowOf(const Run&, const emulator::Metrics&);

/// The run's numbers for each second, as CSV. The last line holds the number of seconds.
std::string timelineTable(const emulator::Metrics&);

/// The run's figures, its fingerprint and the first violations of invariants, as lines of text.
std::string summaryOf(const Run&, const emulator::Metrics&);

}  // namespace merlinbridge::lab
