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

/// One step of `serve` that is repeated for transient errors. All other errors become a ServeError.
template <class Step>
auto startStep(ServeStep name, Log& log, const Step& step) {
  try {
    return retryWhileStarting(step, [name, &log](std::string_view error) {
      log(LogEvent::startRetried, LogField{"step", nameOf(name)}, LogField{"error", error});
    });
  } catch (const std::exception&) {
    rethrowAsServeError(name);
  }
}

void logRenamed(Log& log, const std::vector<config::RenamedSetting>& options,
                const std::vector<config::RenamedSetting>& keys) {
  for (const auto* const settings : {&options, &keys})
    for (const config::RenamedSetting& setting : *settings)
      log(LogEvent::settingRenamed, LogField{"detail", setting.text()});
}

void runUntilStopped(const ConfigSources& sources, const std::vector<config::RenamedSetting>& renamed,
                     Log& log) {
  const config::OperatorConfig operatorConfig =
      startStep(ServeStep::readOperatorConfig, log, [&sources] { return sources.readOperator(); });
  log.configure(operatorConfig.level, operatorConfig.form);
  logRenamed(log, renamed, operatorConfig.renamed);
  const auto signals =
      startStep(ServeStep::catchSignals, log, [] { return std::make_unique<SignalWatch>(); });
  const auto daemon = startStep(ServeStep::openGateway, log, [&] {
    return std::make_unique<Daemon>(sources, operatorConfig, *signals, log);
  });
  try {
    daemon->run();
  } catch (const std::exception&) {
    rethrowAsServeError(ServeStep::run);
  }
}

/// The one line with which a failed `serve` ends, and its exit code.
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

/// Prints what `verdictOf` returns or, where it throws, the error's text. False: it threw.
bool reportVerdict(std::string_view file, const std::function<std::string()>& verdictOf) {
  try {
    std::cout << file << ": " << verdictOf() << '\n';
    return true;
  } catch (const std::exception& e) {
    std::cout << file << ": " << e.what() << '\n';
    return false;
  }
}

void printRenamed(const std::vector<config::RenamedSetting>& renamed) {
  for (const config::RenamedSetting& setting : renamed) std::cout << "warning: " << setting.text() << '\n';
}

std::string operatorVerdict(const ConfigSources& sources) {
  printRenamed(sources.readOperator().renamed);
  return sources.operatorFile.empty() ? "none, defaults hold" : "fit";
}

std::string platformVerdict(const ConfigSources& sources) {
  const config::GatewayConfig config = sources.readPlatform();
  net::parseAddress(config.listen);
  net::parseAddress(config.discovery);
  if (!config.counter.empty()) net::parseAddress(config.counter);
  return fmt::format("fit: {} hosts known, {} methods, {} plans, {} gateways", config.known.entries.size(),
                     config.settings.methods.size(), config.settings.plans.size(), config.settings.gateways);
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
  printRenamed(renamed);
  const bool operatorFit =
      reportVerdict("operator configuration", [&sources] { return operatorVerdict(sources); });
  const bool platformFit = reportVerdict("configuration", [&sources] { return platformVerdict(sources); });
  return operatorFit && platformFit ? ExitCode::success : ExitCode::badInput;
}

}  // namespace merlinbridge::daemon
