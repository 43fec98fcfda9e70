#pragma once

#include <fmt/format.h>

#include <cstdint>
#include <stdexcept>
#include <string>
#include <utility>

namespace merlinbridge::config {

/// What is wrong with a TOML text.
enum class TomlFault {
  malformed,          ///< Not TOML; `expected` holds the parser's description.
  missingKey,         ///< The key must be there.
  invalidValue,       ///< The key's value is of the wrong type or out of its range.
  unknownKey,         ///< No such key is read: misspelt, it would have no effect.
  conflictingOldKey,  ///< A key is given under its former name and, in `expected`, under its present one.
  other               ///< `expected` holds the whole text.
};

/// One fault with its place.
struct TomlProblem {
  TomlFault fault = TomlFault::other;
  std::string file;
  std::uint32_t line = 0;    ///< From 1.
  std::uint32_t column = 0;  ///< From 1.
  std::string key;           ///< With its tables: "log.level".
  std::string expected;
  std::string found;  ///< The value that stands there, as TOML.
};

/// The text of a problem for operators: `own.toml:2:1: 'log.levle' is not known here`.
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
      return withPlace(fmt::format("'{}' is not known here", problem.key));
    case TomlFault::conflictingOldKey:
      return withPlace(
          fmt::format("'{}' stands beside '{}', which is its new name", problem.key, problem.expected));
    case TomlFault::other:
      break;
  }
  return problem.expected;
}

/// A TOML text that cannot be used. Callers branch on `problem().fault`, never on the text.
class TomlError : public std::runtime_error {
 public:
  explicit TomlError(TomlProblem problem)
      : std::runtime_error(textOf(problem)), problem_(std::move(problem)) {}
  /// A problem that has no fault of its own: the text is `problem().expected`.
  explicit TomlError(const std::string& text)
      : std::runtime_error(text), problem_{TomlFault::other, "", 0, 0, "", text, ""} {}

  const TomlProblem& problem() const { return problem_; }

 private:
  TomlProblem problem_;
};

}  // namespace merlinbridge::config
