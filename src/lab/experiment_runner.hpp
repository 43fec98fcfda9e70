#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/metrics.hpp"
#include "lab/run_result.hpp"

namespace merlinbridge::lab {

/// A field that a sweep changes, and its values.
struct SweptField {
  std::string path;
  std::vector<std::string> values;
};
/// Parses "path=value,value". Throws LabError if there is no '='.
SweptField parseSweptField(const std::string& text);

/// All combinations of one value for each field, with the last field varying fastest. One empty combination
/// if there are no fields.
std::vector<FieldValues> combinationsOf(const std::vector<SweptField>&);

/// Parses seeds given as "1..5" or "1,4,9". Throws LabError on any other text or if a range is too long.
std::vector<std::uint64_t> parseSeeds(const std::string& text);

/// The policy with that name. Throws LabError if there is none.
emulator::Policy parsePolicy(const std::string& name);

/// A run's row in the result table, and how often the run violated an invariant.
struct RunOutcome {
  Row row;
  std::uint64_t violations = 0;
};

/// Called after each run with the number of runs that have ended. Called on the thread that played the run,
/// by one thread at a time.
using ProgressSink = std::function<void(std::size_t endedRuns)>;

/// Reads a scenario file and plays runs of it in the emulator.
class ExperimentRunner {
 public:
  /// `changes` have the form "path=value" and override the file in every run. Throws emulator::ScenarioError
  /// if the file cannot be read.
  ExperimentRunner(std::string file, std::vector<std::string> changes);

  /// The scenario with the runner's changes and then `fields` applied. Throws emulator::ScenarioError.
  emulator::Scenario scenario(const FieldValues& = {}) const;

  /// Plays one run. The result depends only on `run`.
  static emulator::Metrics play(const Run& run);

  /// Plays all runs, at most `parallelRuns` at a time, and returns their outcomes in the order of the runs.
  /// If a run throws, no further run is started and the exception is rethrown.
  static std::vector<RunOutcome> playAll(const std::vector<Run>&, unsigned parallelRuns, const ProgressSink&);

 private:
  std::string file_;
  std::string text_;
  std::vector<std::string> changes_;
};

}  // namespace merlinbridge::lab
