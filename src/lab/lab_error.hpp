#pragma once

#include <functional>
#include <stdexcept>
#include <string>

namespace merlinbridge::lab {

/// A request that the lab cannot carry out. The text gives the reason and, where there is one, names the file
/// or the value.
struct LabError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Receives a warning: one line of text without a line end. If empty, warnings are discarded.
using WarningSink = std::function<void(const std::string& warning)>;

}  // namespace merlinbridge::lab
