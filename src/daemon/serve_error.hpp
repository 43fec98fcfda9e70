#pragma once

#include <stdexcept>
#include <string>
#include <string_view>

namespace merlinbridge::daemon {

/// The steps of `serve`, in their order.
enum class ServeStep {
  readOperatorConfig,  ///< The operators' file, GW_OWN.
  catchSignals,        ///< The pipe and the handlers of SignalWatch.
  openGateway,         ///< The platform's file, GW_CONFIG, and the sockets that it names.
  run                  ///< The event loop, until the process stops.
};

/// The step's name as it stands in a log line.
std::string_view nameOf(ServeStep step);

/// Whose fault it is that a step failed.
enum class ServeFailure {
  platformConfig,  ///< A file cannot be read for good, or the platform's file is not valid.
  operatorConfig,  ///< The operators' file is not valid.
  system           ///< The system refused something that may be there at the next start.
};

/// Which step of `serve` failed, and why. The text says with what: file and field, or the system's error.
struct ServeError : std::runtime_error {
  ServeError(ServeStep failedStep, ServeFailure cause, const std::string& text)
      : std::runtime_error(text), step(failedStep), failure(cause) {}

  ServeStep step;
  ServeFailure failure;
};

/// Throws the exception that is being handled as a ServeError of that step. To be called in a catch clause.
[[noreturn]] void rethrowAsServeError(ServeStep step);

}  // namespace merlinbridge::daemon
