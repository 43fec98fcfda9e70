#pragma once

#include <stdexcept>
#include <string>

namespace merlinbridge::config {

/// What is wrong with a configuration, or with a message from discovery or the simulator.
enum class ConfigFault {
  unreadableFile,  ///< The file `path` cannot be opened or read.
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
  other  ///< Described by `description`.
};

/// One fault and where it was found.
struct ConfigProblem {
  ConfigFault fault = ConfigFault::other;
  std::string path;         ///< "message.field", a file or a variable; empty: the whole text.
  std::string found;        ///< The JSON value at `path`, cut to kMaxFoundBytes; empty if there is none.
  std::string description;  ///< What is wrong if `fault` is `other`; empty otherwise.
};

/// Longer values are cut in ConfigProblem::found.
inline constexpr std::size_t kMaxFoundBytes = 60;

/// The error message for operators. It names the message and the field, but does not include `found`.
std::string textOf(const ConfigProblem& problem);

/// A configuration or message is invalid or cannot be read. Callers branch on `problem().fault`, never on the
/// text.
class ConfigError : public std::runtime_error {
 public:
  explicit ConfigError(ConfigProblem problem);
  /// A problem of the fault `other`: the text becomes `problem().description`.
  explicit ConfigError(const std::string& text);

  const ConfigProblem& problem() const { return problem_; }

 private:
  ConfigProblem problem_;
};

}  // namespace merlinbridge::config
