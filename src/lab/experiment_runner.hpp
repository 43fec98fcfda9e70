#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "emulator/metrics.hpp"
#include "lab/run_result.hpp"

namespace merlinbridge::lab {

/// One value for each field that is changed in a sweep, and the values that the user gave:
/// "path=value,value". Throws LabError on a text of another form.
struct SweptField {
  std::string path;
  std::vector<std::string> values;
};
SweptField parseSweptField(const std::string& text);

/// Every combination of one value of each field, the last field changing fastest. One empty combination if
/// there is no field.
std::vector<FieldValues> combinationsOf(const std::vector<SweptField>&);

/// Seeds given as "1..5" or "1,4,9". Throws LabError on any other text.
std::vector<std::uint64_t> parseSeeds(const std::string& text);

/// The policy of that name. Throws LabError if there is none.
emulator::Policy parsePolicy(const std::string& name);

/// A run's row of the table, and how often it violated an invariant.
struct RunOutcome {
  Row row;
  std::uint64_t violations = 0;
};

/// Called after each run with the number of runs that have ended, on the thread that played the run; calls do
/// not overlap.
using ProgressSink = std::function<void(std::size_t endedRuns)>;

/// Reads one scenario file and plays runs of it in the emulator.
class ExperimentRunner {
 public:
  /// `changes` are "path=value" and replace what the file says in every run. Throws emulator::ScenarioError if
  /// the file cannot be read.
  ExperimentRunner(std::string file, std::vector<std::string> changes);

  /// The scenario with the runner's changes and with these fields changed. Throws emulator::ScenarioError.
  emulator::Scenario scenario(const FieldValues& = {}) const;

  /// Plays one run; it depends on nothing but the run.
  static emulator::Metrics play(const Run&);

  /// Plays all runs, at most `parallelRuns` at a time, and returns their outcomes in the order of the runs.
  /// If a run throws, no further run is started and the exception is rethrown.
  static std::vector<RunOutcome> playAll(const std::vector<Run>&, unsigned parallelRuns, const ProgressSink&);

 private:
  std::string file_;
  std::string text_;
  std::vector<std::string> changes_;
};

}  // namespace merlinbridge::lab
