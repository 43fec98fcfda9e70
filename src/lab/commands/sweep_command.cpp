#include <algorithm>
#include <filesystem>
#include <iostream>
#include <thread>

#include "lab/commands/command.hpp"
#include "lab/experiment_runner.hpp"

namespace merlinbridge::lab {
namespace {

/// `sweep`: plays a scenario with every combination of changed fields, policies and seeds, and writes a
/// result table.
class SweepCommand final : public Command {
 public:
  CLI::App* addTo(CLI::App& program) override {
    CLI::App* const command =
        program.add_subcommand("sweep", "plays a scenario with changed fields, policies and seeds");
    scenario_.addTo(*command);
    command->add_option("--field", fields_, "path=value,value,...; may be given again")
        ->allow_extra_args(false);
    command->add_option("--seeds", seeds_, "range 1..5 or list 1,4,9")->capture_default_str();
    command->add_option("--policy", policies_, kPolicyHelp)->delimiter(',')->capture_default_str();
    command->add_option("--jobs", parallelRuns_, "number of runs played in parallel")->capture_default_str();
    command->add_option("--out", table_, "file for the result table")->required();
    return command;
  }

  ExitCode execute() override {
    const std::vector<Run> runs = plannedRuns();
    const std::vector<RunOutcome> outcomes =
        ExperimentRunner::playAll(runs, parallelRuns_, [&runs](std::size_t endedRuns) {
          std::cerr << '\r' << endedRuns << " of " << runs.size() << " runs" << std::flush;
        });
    std::cerr << '\n';
    std::vector<Row> rows;
    std::uint64_t violations = 0;
    for (const RunOutcome& outcome : outcomes) {
      rows.push_back(outcome.row);
      violations += outcome.violations;
    }
    writeRows(rows);
    std::cout << rows.size() << " runs in " << table_ << ", invariants violated " << violations << " times\n";
    return violations > 0 ? ExitCode::invariantViolated : ExitCode::success;
  }

 private:
  std::vector<Run> plannedRuns() const {
    const ExperimentRunner runner(scenario_.file, scenario_.changes);
    std::vector<SweptField> fields;
    for (const std::string& field : fields_) fields.push_back(parseSweptField(field));
    std::vector<Run> runs;
    for (const FieldValues& values : combinationsOf(fields)) {
      const emulator::Scenario scenario = runner.scenario(values);
      if (runs.empty())  // The same keys are renamed in every combination: warn once.
        for (const std::string& warning : scenario.warnings) warnOnStderr(warning);
      for (const std::string& policy : policies_)
        for (const std::uint64_t seed : parseSeeds(seeds_))
          runs.push_back({scenario, values, seed, parsePolicy(policy)});
    }
    return runs;
  }
  void writeRows(const std::vector<Row>& rows) const {
    const auto folder = std::filesystem::path(table_).parent_path();
    if (!folder.empty()) std::filesystem::create_directories(folder);
    replaceFile(table_, writeTable(rows));
  }

  ScenarioOptions scenario_;
  std::vector<std::string> fields_;
  std::string seeds_ = "1..5";
  std::vector<std::string> policies_{"module"};
  unsigned parallelRuns_ = std::max(1u, std::thread::hardware_concurrency());
  std::string table_;
};

}  // namespace

std::unique_ptr<Command> makeSweepCommand() {
  return std::make_unique<SweepCommand>();
}

}  // namespace merlinbridge::lab
