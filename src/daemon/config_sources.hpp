#pragma once

#include <string>

#include "config/gateway_config.hpp"
#include "config/operator_config.hpp"

namespace merlinbridge::daemon {

/// Paths of the daemon's two configuration files, from the environment or the command line, which takes
/// precedence. Each read opens the file again.
struct ConfigSources {
  std::string platformFile;  ///< JSON, from GW_CONFIG. Empty: not set; readPlatform() fails.
  std::string operatorFile;  ///< TOML, from GW_OWN. Empty: not set; all defaults apply.

  /// The paths in GW_CONFIG and GW_OWN.
  static ConfigSources fromEnvironment();

  /// Reads the platform's file. Throws config::ConfigError if it is missing or invalid, and std::system_error
  /// if a transient error prevents reading it.
  config::GatewayConfig readPlatform() const;
  /// Reads the operators' file. A valid log level in GW_LOG_LEVEL takes precedence over the file's. Throws
  /// config::ConfigError if the file is missing, config::TomlError if it is invalid, and std::system_error as
  /// above.
  config::OperatorConfig readOperator() const;
};

}  // namespace merlinbridge::daemon
