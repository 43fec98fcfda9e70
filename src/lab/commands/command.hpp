#pragma once

#include <CLI/CLI.hpp>
#include <memory>
#include <string>
#include <vector>

namespace merlinbridge::lab {

/// Exit codes of the program.
enum class ExitCode {
  success = 0,
  invariantViolated = 1,  ///< The command finished, and a run violated an invariant.
  failure = 2             ///< The command failed, for example on an invalid option, file or scenario.
};

/// One subcommand of the program.
class Command {
 public:
  Command() = default;
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;
  virtual ~Command() = default;

  /// Adds the subcommand and its options to the program's parser and returns the subcommand's parser. Parsing
  /// writes to this object, which must outlive the program's parser.
  virtual CLI::App* addTo(CLI::App& program) = 0;

  /// Executes the command with the parsed options. Writes results to standard output, progress and warnings
  /// to standard error. Throws LabError, emulator::ScenarioError or another std::exception if it fails.
  virtual ExitCode execute() = 0;
};

std::unique_ptr<Command> makeRunCommand();
std::unique_ptr<Command> makeSweepCommand();
std::unique_ptr<Command> makeCompareCommand();
std::unique_ptr<Command> makeShrinkCommand();
std::unique_ptr<Command> makeReportCommand();

/// Options of the commands that play a scenario.
struct ScenarioOptions {
  std::string file;
  std::vector<std::string> changes;  ///< "path=value", each overriding a field of the file.

  void addTo(CLI::App& command);
};

/// Figures that the commands compare or draw if none are given.
inline const std::vector<std::string> kDefaultFigures{"utility_served"};

constexpr const char* kPolicyHelp = "module, all, even or truth";

/// Writes a warning to standard error as one line.
void warnOnStderr(const std::string& warning);

}  // namespace merlinbridge::lab
