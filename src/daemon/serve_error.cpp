#include "daemon/serve_error.hpp"

#include "config/json_fields.hpp"
#include "config/toml_table.hpp"

namespace merlinbridge::daemon {

std::string_view nameOf(ServeStep step) {
  switch (step) {
    case ServeStep::readOperatorConfig:
      return "read_operator_config";
    case ServeStep::catchSignals:
      return "catch_signals";
    case ServeStep::openGateway:
      return "open_gateway";
    case ServeStep::run:
      break;
  }
  return "run";
}

void rethrowAsServeError(ServeStep step) {
  try {
    throw;
  } catch (const config::TomlError& e) {
    throw ServeError(step, ServeFailure::operatorConfig, e.what());
  } catch (const config::ConfigError& e) {
    throw ServeError(step, ServeFailure::platformConfig, e.what());
  } catch (const std::invalid_argument& e) {  // an invalid address, from net::parseAddress
    throw ServeError(step, ServeFailure::platformConfig, e.what());
  } catch (const std::exception& e) {
    throw ServeError(step, ServeFailure::system, e.what());
  }
}

}  // namespace merlinbridge::daemon
