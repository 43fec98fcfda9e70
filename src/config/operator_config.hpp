#pragma once

#include <string>
#include <vector>

#include "policy_api/time.hpp"
#include "util/log.hpp"

namespace merlinbridge::config {

/// An option or key that was given under its old name, which is still accepted.
struct RenamedSetting {
  std::string oldName;  ///< With its kind, as in "key reload.looks".
  std::string newName;

  /// The warning, which names both.
  std::string text() const { return oldName + " is now called " + newName; }
};

/// The operators' settings, which supplement the platform's configuration. All keys are optional.
struct OperatorConfig {
  LogFormat form = LogFormat::text;
  LogLevel level = LogLevel::info;
  /// For this long after SIGTERM, every request that arrives is answered. Part of killedAfter.
  Duration acceptFor = std::chrono::milliseconds(700);
  /// This long after SIGTERM, the process may be killed; at least `acceptFor`.
  Duration killedAfter = std::chrono::milliseconds(3700);
  /// How many times a reload is retried after SIGHUP if the file is missing or invalid; 0 to 12.
  int reloadRetries = 5;
  /// The keys that were given under their old names.
  std::vector<RenamedSetting> renamed;
};

/// Reads the contents of the operators' TOML file. `file` is named in errors. Throws TomlError if any part of
/// it is invalid.
OperatorConfig readOperatorConfig(const std::string& text, const std::string& file);

}  // namespace merlinbridge::config
