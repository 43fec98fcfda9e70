#include "daemon/commands.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <functional>
#include <iostream>
#include <memory>

#include "daemon/daemon.hpp"
#include "daemon/log_stream.hpp"
#include "daemon/serve_error.hpp"
#include "daemon/start_retry.hpp"

namespace merlinbridge::daemon {
namespace {

/// Runs one start-up step of `serve` and retries it after transient errors. All other errors become a
/// ServeError.
template <class Step>
auto runStartStep(ServeStep name, Log& log, const Step& step) {
  try {
    return retryWhileStarting(step, [name, &log](std::string_view error) {
      log(LogEvent::startRetried, LogField{"step", nameOf(name)}, LogField{"error", error});
    });
  } catch (const std::exception&) {
    rethrowAsServeError(name);
  }
}

void logRenamedSettings(Log& log, const std::vector<config::RenamedSetting>& options,
                        const std::vector<config::RenamedSetting>& keys) {
  for (const auto* const settings : {&options, &keys})
    for (const config::RenamedSetting& setting : *settings)
      log(LogEvent::settingRenamed, LogField{"detail", setting.text()});
}

void runUntilStopped(const ConfigSources& sources, const std::vector<config::RenamedSetting>& renamed,
                     Log& log) {
  const config::OperatorConfig operatorConfig =
      runStartStep(ServeStep::readOperatorConfig, log, [&sources] { return sources.readOperator(); });
  log.configure(operatorConfig.level, operatorConfig.form);
  logRenamedSettings(log, renamed, operatorConfig.renamed);
  const auto signals =
      runStartStep(ServeStep::catchSignals, log, [] { return std::make_unique<SignalWatch>(); });
  const auto daemon = runStartStep(ServeStep::openGateway, log, [&] {
    return std::make_unique<Daemon>(sources, operatorConfig, *signals, log);
  });
  try {
    daemon->run();
  } catch (const std::exception&) {
    rethrowAsServeError(ServeStep::run);
  }
}

/// Logs the one line that reports why `serve` failed, and returns the exit code.
ExitCode logFailure(Log& log, const ServeError& error) {
  const std::string_view text = error.what();
  switch (error.failure) {
    case ServeFailure::operatorConfig:
      log(LogEvent::operatorConfigInvalid, LogField{"error", text});
      return ExitCode::badInput;
    case ServeFailure::platformConfig:
      log(LogEvent::configInvalid, LogField{"error", text});
      return ExitCode::badInput;
    case ServeFailure::system:
      break;
  }
  log(LogEvent::fatalError, LogField{"step", nameOf(error.step)}, LogField{"error", text});
  return ExitCode::failure;
}

/// Prints what `checkFile` returns or the message of the error that it throws. Returns false if it throws.
bool printCheckResult(std::string_view file, const std::function<std::string()>& checkFile) {
  try {
    std::cout << file << ": " << checkFile() << '\n';
    return true;
  } catch (const std::exception& e) {
    std::cout << file << ": " << e.what() << '\n';
    return false;
  }
}

void printRenamedSettings(const std::vector<config::RenamedSetting>& renamed) {
  for (const config::RenamedSetting& setting : renamed) std::cout << "warning: " << setting.text() << '\n';
}

std::string checkOperatorConfig(const ConfigSources& sources) {
  printRenamedSettings(sources.readOperator().renamed);
  return sources.operatorFile.empty() ? "not set, using defaults" : "valid";
}

std::string checkPlatformConfig(const ConfigSources& sources) {
  const config::GatewayConfig config = sources.readPlatform();
  net::parseAddress(config.listenAddress);
  net::parseAddress(config.discoveryAddress);
  if (!config.counterAddress.empty()) net::parseAddress(config.counterAddress);
  return fmt::format("valid: {} hosts known, {} methods, {} plans, {} gateways",
                     config.knownEndpoints.entries.size(), config.settings.methods.size(),
                     config.settings.plans.size(), config.settings.gateways);
}

}  // namespace

ExitCode serve(const ConfigSources& sources, const std::vector<config::RenamedSetting>& renamed) {
  LogStream standardError(STDERR_FILENO);
  Log log(standardError, LogLevel::info);
  try {
    runUntilStopped(sources, renamed, log);
    return ExitCode::success;
  } catch (const ServeError& e) {
    return logFailure(log, e);
  }
}

ExitCode check(const ConfigSources& sources, const std::vector<config::RenamedSetting>& renamed) {
  printRenamedSettings(renamed);
  const bool operatorValid =
      printCheckResult("operator configuration", [&sources] { return checkOperatorConfig(sources); });
  const bool platformValid =
      printCheckResult("configuration", [&sources] { return checkPlatformConfig(sources); });
  return operatorValid && platformValid ? ExitCode::success : ExitCode::badInput;
}

}  // namespace merlinbridge::daemon
