#pragma once

#include <functional>
#include <stdexcept>
#include <string>

namespace merlinbridge::lab {

/// The laboratory cannot do what was asked; the text says why and names the file or option.
struct LabError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Receives a warning: one line without its end. Empty: warnings are dropped.
using WarningSink = std::function<void(const std::string& warning)>;

}  // namespace merlinbridge::lab
