#include <fmt/format.h>

#include <iostream>

#include "emulator/scenario.hpp"
#include "lab/commands/command.hpp"
#include "lab/comparison.hpp"

namespace merlinbridge::lab {
namespace {

/// `compare`: compares figures of the runs that have the same seed and changed fields in two tables.
class CompareCommand final : public Command {
 public:
  CLI::App* addTo(CLI::App& program) override {
    CLI::App* const command =
        program.add_subcommand("compare", "compares two tables, paired by seed and fields");
    command->add_option("first", firstTable_, "first table")->required();
    command->add_option("second", secondTable_, "second table")->required();
    command->add_option("--figure", figures_, "figures to compare")->delimiter(',')->capture_default_str();
    return command;
  }

  ExitCode execute() override {
    const auto first = readTable(emulator::textOfFile(firstTable_), firstTable_, warnOnStderr);
    const auto second = readTable(emulator::textOfFile(secondTable_), secondTable_, warnOnStderr);
    for (const std::string& figure : figures_) {
      const Comparison comparison = compare(first, second, figure);
      std::cout << fmt::format("{:<14} {:.5g} -> {:.5g}: {}\n", comparison.figure, comparison.first.mean,
                               comparison.second.mean, comparison.verdict());
    }
    return ExitCode::success;
  }

 private:
  std::string firstTable_;
  std::string secondTable_;
  std::vector<std::string> figures_ = kDefaultFigures;
};

}  // namespace

std::unique_ptr<Command> makeCompareCommand() {
  return std::make_unique<CompareCommand>();
}

}  // namespace merlinbridge::lab
