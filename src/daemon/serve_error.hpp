#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace merlinbridge::daemon {

/// The steps of `serve`, in order.
enum class ServeStep {
  readOperatorConfig,  ///< Reads the operators' file, GW_OWN.
  catchSignals,        ///< Creates the SignalWatch's pipe and installs its handlers.
  openGateway,         ///< Reads the platform's file, GW_CONFIG, and opens the sockets.
  run                  ///< Runs the event loop until the process stops.
};

/// The step's name in log lines.
std::string_view nameOf(ServeStep step);

/// What made a step fail.
enum class ServeFailure {
  platformConfig,  ///< The platform's file is invalid, or either file is missing or unreadable.
  operatorConfig,  ///< The operators' file is invalid.
  system           ///< A system call or resource failed; a later start may succeed.
};

/// A step of `serve` failed. The text names the file and field, or the system error.
struct ServeError : std::runtime_error {
  ServeError(ServeStep failedStep, ServeFailure cause, const std::string& text)
      : std::runtime_error(text), step(failedStep), failure(cause) {}

  ServeStep step;
  ServeFailure failure;
};

/// Rethrows the exception being handled as a ServeError for that step. To be called in a catch block.
[[noreturn]] void rethrowAsServeError(ServeStep step);

}  // namespace merlinbridge::daemon
