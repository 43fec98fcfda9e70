#pragma once

#include <stdexcept>
#include <string>

namespace merlinbridge::config {

/// What is wrong with a configuration, or with a message of discovery or the simulator.
enum class ConfigFault {
  unreadableFile,  ///< The file at `path` cannot be opened or read.
  unsetVariable,   ///< The environment variable `path` is not set.
  notAnObject,     ///< The text is not one JSON object.
  missingField,
  wrongType,
  notANumber,
  negative,
  outOfRange,
  notAnArray,
  notAString,
  notHexadecimal,
  other  ///< `allowed` says what is wrong in words of its own.
};

/// One fault with its place.
struct ConfigProblem {
  ConfigFault fault = ConfigFault::other;
  std::string path;   ///< Message and field as "config.seed"; a file; a variable; empty: the whole text.
  std::string found;  ///< The JSON value that stands there, cut to kMaxFoundBytes; empty: none.
  std::string description;  ///< What may stand there; empty: what the fault says.
};

/// A longer value is cut in ConfigProblem::found.
inline constexpr std::size_t kMaxFoundBytes = 60;

/// The text of a problem for operators. It names message and field; `found` is not part of it.
std::string textOf(const ConfigProblem& problem);

/// A configuration or message that cannot be used. Callers branch on `problem().fault`, never on the text.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(ConfigProblem problem);
  /// A problem that has no fault of its own: the text is `problem().allowed`.
  explicit ConfigError(const std::string& text);

  const ConfigProblem& problem() const { return problem_; }

 private:
  ConfigProblem problem_;
};

}  // namespace merlinbridge::config
