#pragma once

#include <string>

#include "config/gateway_config.hpp"
#include "config/operator_config.hpp"

namespace merlinbridge::daemon {

/// Where the daemon's two configuration files are: those that the environment names, unless the command line
/// names others. Each read opens the file anew.
struct ConfigSources {
  std::string platformFile;  ///< JSON, from GW_CONFIG. Empty: not named, which readPlatform() refuses.
  std::string operatorFile;  ///< TOML, from GW_OWN. Empty: all defaults hold.

  /// The files that GW_CONFIG and GW_OWN name.
  static ConfigSources fromEnvironment();

  /// Reads the platform's file. Throws config::ConfigError where it is missing or not valid,
  /// std::system_error where it cannot be read for the moment.
  config::GatewayConfig readPlatform() const;
  /// Reads the operators' file; the level of GW_LOG_LEVEL, if that is one, goes before the file's. Throws
  /// config::ConfigError where the file is missing, config::TomlError where it is not valid, and
  /// std::system_error as above.
  config::OperatorConfig readOperator() const;
};

}  // namespace merlinbridge::daemon
