#include <fmt/format.h>

#include <array>
#include <iostream>
#include <optional>

#include "lab/commands/command.hpp"
#include "lab/experiment_runner.hpp"
#include "lab/scenario_shrinker.hpp"

namespace merlinbridge::lab {
namespace {

using emulator::Invariant;
using emulator::Scenario;

constexpr std::string_view kAnyInvariant = "any";

/// The name of an invariant in earlier versions and its current name; both are accepted.
struct RenamedInvariant {
  std::string_view previous;
  std::string_view current;
};
constexpr std::array kRenamedInvariants{RenamedInvariant{"twice", "duplicate"},
                                        RenamedInvariant{"cold", "slow_start"}};

std::string invariantNames() {
  std::string names(kAnyInvariant);
  for (std::size_t index = 0; index < emulator::kInvariantCount; ++index) {
    names += index + 1 == emulator::kInvariantCount ? " or " : ", ";
    names += wordOf(static_cast<Invariant>(index));
  }
  return names;
}

/// The invariant with that name; nothing for kAnyInvariant. Throws LabError if the name is unknown.
std::optional<Invariant> parseInvariant(std::string_view name) {
  if (name == kAnyInvariant) return std::nullopt;
  std::string_view currentName = name;
  for (const auto& [previous, current] : kRenamedInvariants)
    if (previous == name) currentName = current;
  for (std::size_t index = 0; index < emulator::kInvariantCount; ++index) {
    const auto invariant = static_cast<Invariant>(index);
    if (wordOf(invariant) == name || wordOf(invariant) == currentName) return invariant;
  }
  throw LabError(fmt::format("unknown invariant '{}': expected {}", name, invariantNames()));
}

/// `shrink`: finds a small scenario that still violates an invariant.
class ShrinkCommand final : public Command {
 public:
  CLI::App* addTo(CLI::App& program) override {
    CLI::App* const command =
        program.add_subcommand("shrink", "finds a small scenario that still violates an invariant");
    scenario_.addTo(*command);
    command->add_option("--seed", seed_, "random seed")->capture_default_str();
    command->add_option("--policy", policy_, kPolicyHelp)->capture_default_str();
    command->add_option("--rule", invariant_, "the invariant: " + invariantNames())->capture_default_str();
    command->add_option("--most", maxRuns_, "maximum number of runs")->capture_default_str();
    command->add_option("--out", outputFile_, "file for the scenario found")->required();
    return command;
  }

  ExitCode execute() override {
    const ExperimentRunner runner(scenario_.file, scenario_.changes);
    const Scenario scenario = runner.scenario();
    for (const std::string& warning : scenario.warnings) warnOnStderr(warning);
    const emulator::Policy policy = parsePolicy(policy_);
    const std::optional<Invariant> invariant = parseInvariant(invariant_);
    const auto violates = [this, policy, invariant](const Scenario& candidate) {
      const emulator::Metrics metrics = ExperimentRunner::play({candidate, {}, seed_, policy});
      return invariant ? metrics.violations[static_cast<std::size_t>(*invariant)] > 0
                       : metrics.violationCount() > 0;
    };
    const auto [smallest, runs] = shrink(scenario, violates, maxRuns_);
    replaceFile(outputFile_, emulator::writeScenario(smallest));
    std::cout << fmt::format(
        "{} after {} runs: {} gateways, {} hosts, {} faults, {:.3g} s, {:g} requests a second\n", outputFile_,
        runs, smallest.gateways, smallest.hosts, smallest.faults.size(), seconds(smallest.length),
        smallest.rate);
    return ExitCode::success;
  }

 private:
  ScenarioOptions scenario_;
  std::uint64_t seed_ = 1;
  std::string policy_ = "module";
  std::string invariant_{kAnyInvariant};
  std::size_t maxRuns_ = 200;
  std::string outputFile_;
};

}  // namespace

std::unique_ptr<Command> makeShrinkCommand() {
  return std::make_unique<ShrinkCommand>();
}

}  // namespace merlinbridge::lab
