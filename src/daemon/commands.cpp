#include "daemon/commands.hpp"

#include <fmt/format.h>

#include <functional>
#include <iostream>
#include <stdexcept>

#include "config/json_fields.hpp"
#include "config/toml_table.hpp"
#include "daemon/daemon.hpp"

namespace merlinbridge::daemon {

ExitCode serve(const ConfigSources& sources, const std::vector<std::string>& warnings) {
  Log log(std::cerr, Level::info);
  const auto fail = [&log](ExitCode code, std::string_view event, const std::exception& e) {
    log(Level::error, event, "merlinbridge: ", e.what());
    return code;
  };
  try {
    const config::OperatorConfig operatorConfig = sources.readOperator();
    log.use(operatorConfig.level, operatorConfig.form);
    for (const std::string& warning : warnings) log(Level::warning, "renamed", warning);
    for (const std::string& warning : operatorConfig.warnings) log(Level::warning, "renamed", warning);
    SignalWatch signals;
    Daemon(sources, operatorConfig, signals, log).run();
    return kDone;
  } catch (const config::ConfigError& e) {
    return fail(kBadInput, "orders_bad", e);
  } catch (const config::TomlError& e) {
    return fail(kBadInput, "own_bad", e);
  } catch (const std::invalid_argument& e) {
    return fail(kBadInput, "orders_bad", e);
  } catch (const std::exception& e) {
    return fail(kFailed, "failed", e);
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
