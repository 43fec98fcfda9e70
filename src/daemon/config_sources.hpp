#pragma once

#include <string>

#include "config/gateway_config.hpp"
#include "config/operator_config.hpp"

namespace merlinbridge::daemon {

/// Where the daemon's two configuration files are. Starts with what the environment names; the command line
/// may replace it.
struct ConfigSources {
  std::string platformFile;  ///< JSON, from GW_CONFIG.
  std::string operatorFile;  ///< TOML, from GW_OWN; may be empty: all defaults.

  static ConfigSources fromEnvironment();

  /// Throws config::ConfigError where the file is missing or not fit, std::system_error where it could not be
  /// read for the moment.
  config::GatewayConfig readPlatform() const;
  /// The log level of GW_LOG_LEVEL goes before the file's. Throws config::ConfigError where the file is
  /// missing, config::TomlError where it is not fit, and std::system_error as above.
  config::OperatorConfig readOperator() const;
};

}  // namespace merlinbridge::daemon
