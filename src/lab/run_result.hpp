#pragma once

#include <cstdint>
#include <string>

#include "emulator/metrics.hpp"
#include "lab/result_table.hpp"

/// One run in the forms in which the laboratory writes it.
namespace merlinbridge::lab {

/// What is to be played.
struct Run {
  emulator::Scenario scenario;
  FieldValues fields;  ///< Changes that are already made in the scenario; kept for the table.
  std::uint64_t seed = 1;
  emulator::Policy policy = emulator::Policy::gatewayCore;
};

/// The run's row of a result table.
Row rowOf(const Run&, const emulator::Metrics&);

/// What happened in each second of the run, as CSV. The last line holds the number of seconds.
std::string timelineTable(const emulator::Metrics&);

/// The run's figures, its fingerprint and its first violations of invariants, as lines of text.
std::string summaryOf(const Run&, const emulator::Metrics&);

}  // namespace merlinbridge::lab
