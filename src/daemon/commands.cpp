#include "daemon/commands.hpp"

#include <fmt/format.h>
#include <unistd.h>

#include <functional>
#include <iostream>
#include <memory>
#include <stdexcept>

#include "config/json_fields.hpp"
#include "config/toml_table.hpp"
#include "daemon/daemon.hpp"
#include "daemon/log_stream.hpp"
#include "daemon/start_retry.hpp"

namespace merlinbridge::daemon {

ExitCode serve(const ConfigSources& sources, const std::vector<std::string>& warnings) {
  LogStream standardError(STDERR_FILENO);
  Log log(standardError, Level::info);
  try {
    const auto warnOfRetry = [&log](std::string_view error) {
      log(LogEvent::startRetried, LogField{"error", error});
    };
    const config::OperatorConfig operatorConfig =
        retryWhileStarting([&sources] { return sources.readOperator(); }, warnOfRetry);
    log.configure(operatorConfig.level, operatorConfig.form);
    for (const auto& renamed : {warnings, operatorConfig.warnings})
      for (const std::string& warning : renamed) log(LogEvent::settingRenamed, LogField{"detail", warning});
    const auto signals = retryWhileStarting([] { return std::make_unique<SignalWatch>(); }, warnOfRetry);
    const auto daemon = retryWhileStarting(
        [&] { return std::make_unique<Daemon>(sources, operatorConfig, *signals, log); }, warnOfRetry);
    daemon->run();
    return kDone;
  } catch (const config::TomlError& e) {
    log(LogEvent::operatorConfigInvalid, LogField{"error", std::string_view(e.what())});
    return kBadInput;
  } catch (const config::ConfigError& e) {
    log(LogEvent::configInvalid, LogField{"error", std::string_view(e.what())});
    return kBadInput;
  } catch (const std::invalid_argument& e) {  // an address of the platform's file
    log(LogEvent::configInvalid, LogField{"error", std::string_view(e.what())});
    return kBadInput;
  } catch (const std::exception& e) {
    log(LogEvent::fatalError, LogField{"error", std::string_view(e.what())});
    return kFailed;
  }
}

ExitCode check(const ConfigSources& sources, const std::vector<std::string>& warnings) {
  ExitCode worst = kDone;
  const auto report = [&worst](const std::string& what, const std::function<std::string()>& verdictOf) {
    try {
      std::cout << what << ": " << verdictOf() << '\n';
    } catch (const std::exception& e) {
      std::cout << what << ": " << e.what() << '\n';
      worst = kBadInput;
    }
  };
  for (const std::string& warning : warnings) std::cout << "warning: " << warning << '\n';
  report("operator configuration", [&sources] {
    for (const std::string& warning : sources.readOperator().warnings)
      std::cout << "warning: " << warning << '\n';
    return sources.operatorFile.empty() ? std::string("none, defaults hold") : "fit";
  });
  report("configuration", [&sources] {
    const config::GatewayConfig config = sources.readPlatform();
    net::parseAddress(config.listen);
    net::parseAddress(config.discovery);
    if (!config.counter.empty()) net::parseAddress(config.counter);
    return fmt::format("fit: {} hosts known, {} methods, {} plans, {} gateways", config.known.entries.size(),
                       config.settings.methods.size(), config.settings.plans.size(),
                       config.settings.gateways);
  });
  return worst;
}

}  // namespace merlinbridge::daemon
