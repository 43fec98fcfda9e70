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

/// Names that earlier versions gave to invariants, each with the present one; both are accepted.
struct RenamedInvariant {
  std::string_view before;
  std::string_view now;
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

/// The invariant that is looked for; nothing: any. Throws LabError if the name is unknown.
std::optional<Invariant> parseInvariant(std::string_view name) {
  if (name == kAnyInvariant) return std::nullopt;
  std::string_view renamed = name;
  for (const auto& [before, now] : kRenamedInvariants)
    if (before == name) renamed = now;
  for (std::size_t index = 0; index < emulator::kInvariantCount; ++index) {
    const auto invariant = static_cast<Invariant>(index);
    if (wordOf(invariant) == name || wordOf(invariant) == renamed) return invariant;
  }
  throw LabError(fmt::format("no rule '{}': expected {}", name, invariantNames()));
}

/// `shrink`: finds a small scenario that still violates an invariant.
class ShrinkCommand final : public Command {
 public:
  CLI::App* addTo(CLI::App& program) override {
    CLI::App* const command =
        program.add_subcommand("shrink", "finds a small scenario that still violates an invariant");
    scenario_.addTo(*command);
    command->add_option("--seed", seed_, "the seed")->capture_default_str();
    command->add_option("--policy", policy_, kPolicyHelp)->capture_default_str();
    command->add_option("--rule", invariant_, "the invariant: " + invariantNames())->capture_default_str();
    command->add_option("--most", maxRuns_, "runs at most")->capture_default_str();
    command->add_option("--out", out_, "the scenario found")->required();
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
      return invariant ? metrics.violations[static_cast<std::size_t>(*invariant)] > 0 : metrics.violationCount() > 0;
    };
    const auto [least, runs] = shrink(scenario, violates, maxRuns_);
    replaceFile(out_, emulator::writeScenario(least));
    std::cout << fmt::format(
        "{} after {} runs: {} gateways, {} hosts, {} faults, {:.3g} s, {:g} requests a second\n", out_, runs,
        least.gateways, least.hosts, least.faults.size(), seconds(least.length), least.rate);
    return ExitCode::done;
  }

 private:
  ScenarioOptions scenario_;
  std::uint64_t seed_ = 1;
  std::string policy_ = "module";
  std::string invariant_{kAnyInvariant};
  std::size_t maxRuns_ = 200;
  std::string out_;
};

}  // namespace

std::unique_ptr<Command> makeShrinkCommand() {
  return std::make_unique<ShrinkCommand>();
}

}  // namespace merlinbridge::lab
