#pragma once

#include <string>
#include <vector>

#include "policy_api/time.hpp"
#include "util/log.hpp"

namespace merlinbridge::config {

/// An option or key that was given under its old name, which is still read.
struct RenamedSetting {
  std::string oldName;  ///< With its kind: "key reload.looks".
  std::string newName;

  /// The warning that names both.
  std::string text() const { return oldName + " is now called " + newName; }
};

/// What the operators set themselves, beside what the platform sets. Every key may be missing.
struct OperatorConfig {
  LogFormat form = LogFormat::text;
  LogLevel level = LogLevel::info;
  /// After SIGTERM, all that comes is answered for so long. Part of killedAfter.
  Duration acceptFor = std::chrono::milliseconds(700);
  /// After SIGTERM, the process may be killed after so long; at least `acceptFor`.
  Duration killedAfter = std::chrono::milliseconds(3700);
  /// After SIGHUP, how often a file that cannot be read is tried again; 0 to 12.
  int reloadRetries = 5;
  /// The keys that stand under their old names, in the order of the text.
  std::vector<RenamedSetting> renamed;
};

/// Checks the whole text before anything of it is used. `file` is named in errors. Throws TomlError.
OperatorConfig readOperatorConfig(const std::string& text, const std::string& file);

}  // namespace merlinbridge::config
