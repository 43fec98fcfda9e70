#include "lab/experiment_runner.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <charconv>
#include <exception>
#include <mutex>
#include <sstream>
#include <thread>

namespace merlinbridge::lab {
namespace {

constexpr std::uint64_t kMaxSeedRange = 100'000;
constexpr std::string_view kSeedRangeSeparator = "..";

std::vector<std::string> splitAtCommas(const std::string& text) {
  std::vector<std::string> parts;
  std::istringstream stream(text);
  for (std::string part; std::getline(stream, part, ',');) parts.push_back(part);
  return parts;
}

/// `all` is the complete list of seeds, for the error message.
std::uint64_t parseSeed(const std::string& text, const std::string& all) {
  std::uint64_t seed = 0;
  const char* const textEnd = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), textEnd, seed);
  if (error != std::errc{} || end != textEnd) throw LabError("seeds '" + all + "': expected 1..5 or 1,4,9");
  return seed;
}

/// Plays runs on several threads. Each thread takes the next run that has not been started.
class ParallelRunner {
 public:
  ParallelRunner(const std::vector<Run>& runs, const ProgressSink& progress)
      : runs_(runs), progress_(progress), outcomes_(runs.size()) {}

  std::vector<RunOutcome> play(unsigned threadCount) && {
    std::vector<std::thread> threads;
    for (unsigned index = 0; index < threadCount; ++index) threads.emplace_back([this] { playRemaining(); });
    for (std::thread& thread : threads) thread.join();
    if (error_) std::rethrow_exception(error_);
    return std::move(outcomes_);
  }

 private:
  void playRemaining() {
    for (std::size_t index = nextRun_++; index < runs_.size(); index = nextRun_++) {
      playOne(index);
      const std::lock_guard lock(mutex_);
      progress_(++endedRuns_);
    }
  }
  void playOne(std::size_t index) {
    try {
      const emulator::Metrics metrics = ExperimentRunner::play(runs_[index]);
      outcomes_[index] = {rowOf(runs_[index], metrics), metrics.violationCount()};
    } catch (...) {
      const std::lock_guard lock(mutex_);
      if (!error_) error_ = std::current_exception();
      nextRun_ = runs_.size();
    }
  }

  const std::vector<Run>& runs_;
  const ProgressSink& progress_;
  std::vector<RunOutcome> outcomes_;  ///< A thread writes only the elements of the runs that it took.
  std::atomic<std::size_t> nextRun_ = 0;
  std::mutex mutex_;  ///< Guards the members below and calls of progress_.
  std::size_t endedRuns_ = 0;
  std::exception_ptr error_;
};

}  // namespace

SweptField parseSweptField(const std::string& text) {
  const auto equals = text.find('=');
  if (equals == std::string::npos) throw LabError("field '" + text + "': expected path=value,value");
  return {text.substr(0, equals), splitAtCommas(text.substr(equals + 1))};
}

std::vector<FieldValues> combinationsOf(const std::vector<SweptField>& fields) {
  std::vector<FieldValues> combinations{{}};
  for (const SweptField& field : fields) {
    std::vector<FieldValues> extended;
    for (const FieldValues& combination : combinations) {
      for (const std::string& value : field.values) {
        extended.push_back(combination);
        extended.back()[field.path] = value;
      }
    }
    combinations = std::move(extended);
  }
  return combinations;
}

std::vector<std::uint64_t> parseSeeds(const std::string& text) {
  std::vector<std::uint64_t> seeds;
  const auto separator = text.find(kSeedRangeSeparator);
  if (separator == std::string::npos) {
    for (const std::string& seed : splitAtCommas(text)) seeds.push_back(parseSeed(seed, text));
    if (seeds.empty()) throw LabError("no seeds given");
    return seeds;
  }
  const std::uint64_t first = parseSeed(text.substr(0, separator), text);
  const std::uint64_t last = parseSeed(text.substr(separator + kSeedRangeSeparator.size()), text);
  if (first > last || last - first >= kMaxSeedRange)
    throw LabError("seeds '" + text + "': expected the smaller seed first and at most " +
                   std::to_string(kMaxSeedRange) + " seeds");
  for (std::uint64_t seed = first; seed <= last; ++seed) seeds.push_back(seed);
  return seeds;
}

emulator::Policy parsePolicy(const std::string& name) {
  if (const auto policy = emulator::parsePolicy(name)) return *policy;
  throw LabError("unknown policy '" + name + "': expected module, all, even or truth");
}

ExperimentRunner::ExperimentRunner(std::string file, std::vector<std::string> changes)
    : file_(std::move(file)), text_(emulator::textOfFile(file_)), changes_(std::move(changes)) {}

emulator::Scenario ExperimentRunner::scenario(const FieldValues& fields) const {
  std::vector<std::string> changes = changes_;
  for (const auto& [path, value] : fields) changes.push_back(fmt::format("{}={}", path, value));
  return emulator::readScenario(text_, file_, changes);
}

emulator::Metrics ExperimentRunner::play(const Run& run) {
  return emulator::play(run.scenario, run.seed, run.policy);
}

std::vector<RunOutcome> ExperimentRunner::playAll(const std::vector<Run>& runs, unsigned parallelRuns,
                                                  const ProgressSink& progress) {
  return ParallelRunner(runs, progress).play(std::max(1u, parallelRuns));
}

}  // namespace merlinbridge::lab
