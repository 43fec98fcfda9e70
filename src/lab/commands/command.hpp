#pragma once

#include <CLI/CLI.hpp>
#include <memory>
#include <string>
#include <vector>

namespace merlinbridge::lab {

/// Exit codes of the program.
enum class ExitCode {
  done = 0,
  invariantViolated = 1,  ///< The command did its work; a run violated an invariant.
  notDone = 2             ///< Options, a file or a scenario cannot be used; nothing was run.
};

/// One subcommand of the program: its options and what it does.
class Command {
 public:
  Command() = default;
  Command(const Command&) = delete;
  Command& operator=(const Command&) = delete;
  virtual ~Command() = default;

  /// Adds the subcommand with its options to the program's and returns it. Parsing writes to this object,
  /// which must outlive the program's parser.
  virtual CLI::App* addTo(CLI::App& program) = 0;

  /// Does what the parsed options say: results go to standard output, progress and warnings to standard
  /// error. Throws LabError, emulator::ScenarioError or another std::exception if nothing could be done.
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
  std::vector<std::string> changes;  ///< "path=value", each replacing what the file says.

  void addTo(CLI::App& command);
};

/// Figures that the commands compare or draw if none is named.
inline const std::vector<std::string> kDefaultFigures{"utility_served"};

constexpr const char* kPolicyHelp = "module, all, even or truth";

/// Writes one line to standard error.
void warnOnStderr(const std::string& warning);

}  // namespace merlinbridge::lab
