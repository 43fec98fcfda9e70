#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

namespace merlinbridge::config {

/// What is wrong with a TOML document.
enum class TomlFault {
  malformed,          ///< Not TOML; `expected` holds the parser's error message.
  missingKey,         ///< A required key is missing.
  invalidValue,       ///< The value is of the wrong type or out of range.
  unknownKey,         ///< The key is not read: a misspelt key would otherwise be ignored silently.
  conflictingOldKey,  ///< The key's new name, in `expected`, is set as well.
  other               ///< `expected` holds the whole error message.
};

/// One fault and where it was found.
struct TomlProblem {
  TomlFault fault = TomlFault::other;
  std::string file;
  std::uint32_t line = 0;    ///< Starts at 1.
  std::uint32_t column = 0;  ///< Starts at 1.
  std::string key;           ///< With its tables, as in "log.level".
  std::string expected;
  std::string found;  ///< The value of the key, as TOML.
};

/// The error message for operators: `own.toml:2:1: unknown key 'log.levle'`.
inline std::string textOf(const TomlProblem& problem) {
  const auto withPlace = [&problem](const std::string& what) {
    return fmt::format("{}:{}:{}: {}", problem.file, problem.line, problem.column, what);
  };
  switch (problem.fault) {
    case TomlFault::malformed:
      return withPlace(problem.expected);
    case TomlFault::missingKey:
      return withPlace(fmt::format("'{}' is missing: expected {}", problem.key, problem.expected));
    case TomlFault::invalidValue:
      return withPlace(
          fmt::format("'{}': expected {}, found {}", problem.key, problem.expected, problem.found));
    case TomlFault::unknownKey:
      return withPlace(fmt::format("unknown key '{}'", problem.key));
    case TomlFault::conflictingOldKey:
      return withPlace(fmt::format("'{}' and its new name '{}' are both set", problem.key, problem.expected));
    case TomlFault::other:
      break;
  }
  return problem.expected;
}

/// A TOML document is invalid. Callers branch on `problem().fault`, never on the text.
class TomlError : public std::runtime_error {
 public:
  explicit TomlError(TomlProblem problem)
      : std::runtime_error(textOf(problem)), problem_(std::move(problem)) {}
  /// A problem of the fault `other`: the text becomes `problem().expected`.
  explicit TomlError(const std::string& text)
      : std::runtime_error(text), problem_{TomlFault::other, "", 0, 0, "", text, ""} {}

  const TomlProblem& problem() const { return problem_; }

 private:
  TomlProblem problem_;
};

}  // namespace merlinbridge::config
