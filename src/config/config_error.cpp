#include "config/config_error.hpp"

#include <string_view>
#include <utility>

namespace merlinbridge::config {
namespace {

std::string_view reasonOf(const ConfigProblem& problem) {
  switch (problem.fault) {
    case ConfigFault::missingField:
      return "is missing";
    case ConfigFault::wrongType:
      return "has the wrong type";
    case ConfigFault::notANumber:
      return "is not a number";
    case ConfigFault::negative:
      return "is negative";
    case ConfigFault::outOfRange:
      return "is out of range";
    case ConfigFault::notAnArray:
      return "is not an array";
    case ConfigFault::notAString:
      return "contains an element that is not a string";
    case ConfigFault::notHexadecimal:
      return "is not a hex number";
    default:
      return problem.description;
  }
}

}  // namespace

std::string textOf(const ConfigProblem& problem) {
  if (problem.fault == ConfigFault::unreadableFile) return "cannot read " + problem.path;
  if (problem.fault == ConfigFault::unsetVariable) return problem.path + " is not set";
  if (problem.fault == ConfigFault::notAnObject) return "the file is not a JSON object";
  std::string reason(reasonOf(problem));
  const std::size_t dot = problem.path.rfind('.');
  if (dot == std::string::npos) return reason;
  return problem.path.substr(0, dot) + ": field '" + problem.path.substr(dot + 1) + "' " + reason;
}

ConfigError::ConfigError(ConfigProblem problem)
    : std::runtime_error(textOf(problem)), problem_(std::move(problem)) {}

ConfigError::ConfigError(const std::string& text)
    : std::runtime_error(text), problem_{ConfigFault::other, "", "", text} {}

}  // namespace merlinbridge::config
