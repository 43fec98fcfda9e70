#pragma once

#include <vector>

#include "daemon/config_sources.hpp"

/// The commands of the program: what main calls once the command line is read.
namespace merlinbridge::daemon {

/// Exit codes of the program.
enum class ExitCode : int {
  success = 0,  ///< Stopped by SIGTERM or SIGINT; or all files are valid.
  failure = 1,  ///< Could not start or continue.
  badInput = 2  ///< An unknown option or command, or a file that is not valid.
};

/// Runs the gateway until SIGTERM or SIGINT. `renamed`: options given under their old names, logged first.
/// Throws nothing: each error is one log line and an exit code.
ExitCode serve(const ConfigSources& sources, const std::vector<config::RenamedSetting>& renamed);
/// Writes to standard output, for each file, whether it can be served; starts nothing.
ExitCode check(const ConfigSources& sources, const std::vector<config::RenamedSetting>& renamed);

}  // namespace merlinbridge::daemon
