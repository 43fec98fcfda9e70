#include <filesystem>
#include <iostream>

#include "lab/commands/command.hpp"
#include "lab/experiment_runner.hpp"

namespace merlinbridge::lab {
namespace {

/// `run`: plays one scenario once and prints its figures.
class RunCommand final : public Command {
 public:
  CLI::App* addTo(CLI::App& program) override {
    CLI::App* const command = program.add_subcommand("run", "plays a scenario once");
    scenario_.addTo(*command);
    command->add_option("--seed", seed_, "random seed")->capture_default_str();
    command->add_option("--policy", policy_, kPolicyHelp)->capture_default_str();
    command->add_option("--out", folder_, "folder for the scenario and the tables of the run");
    return command;
  }

  ExitCode execute() override {
    const ExperimentRunner runner(scenario_.file, scenario_.changes);
    const Run run{runner.scenario(), {}, seed_, parsePolicy(policy_)};
    for (const std::string& warning : run.scenario.warnings) warnOnStderr(warning);
    const emulator::Metrics metrics = ExperimentRunner::play(run);
    std::cout << summaryOf(run, metrics);
    if (!folder_.empty()) writeFiles(run, metrics);
    return metrics.violationCount() > 0 ? ExitCode::invariantViolated : ExitCode::success;
  }

 private:
  void writeFiles(const Run& run, const emulator::Metrics& metrics) const {
    std::filesystem::create_directories(folder_);
    replaceFile(folder_ + "/scenario.toml", emulator::writeScenario(run.scenario));
    replaceFile(folder_ + "/runs.csv", writeTable({rowOf(run, metrics)}));
    replaceFile(folder_ + "/timeline.csv", timelineTable(metrics));
  }

  ScenarioOptions scenario_;
  std::uint64_t seed_ = 1;
  std::string policy_ = "module";
  std::string folder_;
};

}  // namespace

std::unique_ptr<Command> makeRunCommand() {
  return std::make_unique<RunCommand>();
}

}  // namespace merlinbridge::lab
