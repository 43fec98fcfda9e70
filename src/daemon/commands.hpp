#pragma once

#include <vector>

#include "daemon/config_sources.hpp"

/// The commands of the program, which main calls after it has read the command line.
namespace merlinbridge::daemon {

/// Exit codes of the program.
enum class ExitCode : int {
  success = 0,  ///< Stopped by SIGTERM or SIGINT; for `check`, all files are valid.
  failure = 1,  ///< The gateway could not start or continue.
  badInput = 2  ///< The command line or a configuration file is invalid.
};

/// Runs the gateway until SIGTERM or SIGINT. `renamed` lists options given under their old names, which are
/// logged at start-up. Does not throw: an error becomes one log line and an exit code.
ExitCode serve(const ConfigSources& sources, const std::vector<config::RenamedSetting>& renamed);
/// Prints for each configuration file whether it is valid, without starting the gateway.
ExitCode check(const ConfigSources& sources, const std::vector<config::RenamedSetting>& renamed);

}  // namespace merlinbridge::daemon
