#pragma once

#include <optional>
#include <string>

#include "log.hpp"
#include "policy_api/time.hpp"

namespace merlinbridge::config {

// What the operators settle themselves, beside what the platform tells. Every key may be missing.
struct OperatorConfig {
  Log::Form form = Log::Form::text;
  Level level = Level::info;
  Duration stillComing =
      std::chrono::milliseconds(700);  // after SIGTERM: for so long all that comes is answered
  Duration mostLife = std::chrono::milliseconds(3700);  // and after so long the process may be killed
  int looks = 5;                                        // at a file of configuration that cannot be read
};

// The whole of it is checked before anything is used. Throws tables::TomlError.
OperatorConfig readOperatorConfig(const std::string& text, const std::string& file);

}  // namespace merlinbridge::config
