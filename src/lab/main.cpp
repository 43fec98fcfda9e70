// merlinbridge_lab: plays scenarios in the emulator, writes their figures as tables, compares tables and
// draws charts. Each subcommand is a class in commands/.
#include <CLI/CLI.hpp>
#include <array>
#include <iostream>

#include "lab/commands/command.hpp"

namespace merlinbridge::lab {
namespace {

struct Subcommand {
  std::unique_ptr<Command> command;
  CLI::App* parser = nullptr;  ///< Owned by the program's parser.
};

ExitCode executeSelected(const std::array<Subcommand, 5>& subcommands) {
  for (const auto& [command, parser] : subcommands)
    if (parser->parsed()) return command->execute();
  return ExitCode::failure;  // Unreachable: the parser requires a subcommand.
}

ExitCode runProgram(int argc, char** argv) {
  std::array<Subcommand, 5> subcommands{{{makeRunCommand()},
                                         {makeSweepCommand()},
                                         {makeCompareCommand()},
                                         {makeShrinkCommand()},
                                         {makeReportCommand()}}};
  CLI::App program{
      "merlinbridge_lab: plays scenarios in the emulator and presents the results as tables and charts"};
  program.require_subcommand(1);
  program.footer(
      "Exit codes: 0 success, 1 a run violated an invariant, 2 failure, for example an invalid option, "
      "file or scenario.");
  program.set_version_flag("--version", std::string(MERLINBRIDGE_VERSION));
  for (auto& [command, parser] : subcommands) parser = command->addTo(program);
  try {
    program.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return program.exit(e) == 0 ? ExitCode::success : ExitCode::failure;
  }
  try {
    return executeSelected(subcommands);
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return ExitCode::failure;
  }
}

}  // namespace
}  // namespace merlinbridge::lab

int main(int argc, char** argv) {
  return static_cast<int>(merlinbridge::lab::runProgram(argc, argv));
}
