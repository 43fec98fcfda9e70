#pragma once

#include <string>
#include <vector>

#include "daemon/config_sources.hpp"

namespace merlinbridge::daemon {

/// Exit codes of the program.
enum ExitCode : int {
  kDone = 0,      ///< Ended as told; all files are fit.
  kFailed = 1,    ///< Could not start or go on.
  kBadInput = 2,  ///< Bad words on the command line, or a file that is not fit.
};

/// Runs the gateway until SIGTERM. `warnings` go to its log first.
ExitCode serve(const ConfigSources& sources, const std::vector<std::string>& warnings);
/// Writes to standard output, for each file, whether it can be served; starts nothing.
ExitCode check(const ConfigSources& sources, const std::vector<std::string>& warnings);

}  // namespace merlinbridge::daemon
