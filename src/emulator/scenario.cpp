#include "emulator/scenario.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <iterator>

#include "emulator/scenario_words.hpp"

namespace merlinbridge::emulator {

std::string_view wordOf(FaultKind kind) {
  return nameIn(kFaultKindNames, kind);
}

std::string textOfFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw ScenarioError(path + ": cannot be read");
  return {std::istreambuf_iterator<char>(file), {}};
}

Duration Scenario::longestDeadline() const {
  Duration longest{0};
  for (const ScenarioMethod& method : methods) longest = std::max(longest, method.deadline);
  return longest;
}

config::GatewayConfig Scenario::config() const {
  constexpr std::size_t kSockets = 1024;
  config::GatewayConfig config{};
  config.maxDescriptors = kSockets;
  PolicySettings& settings = config.settings;
  for (const ScenarioMethod& method : methods) {
    settings.methods.push_back({method.idempotency, method.deduplicationScope, method.deduplicationWindow,
                                method.softDeadline, method.utility});
    config.methodNames.push_back(method.name);
  }
  for (const ScenarioPlan& plan : plans) {
    settings.plans.push_back(plan.plan);
    config.planNames.push_back(plan.name);
  }
  for (std::uint32_t zone = 0; zone < zones; ++zone) config.zoneNames.push_back(fmt::format("z{}", zone));
  config.machineNames = {"m"};
  settings.gateways = gateways;
  settings.hasCounter = hasCounter;
  settings.counterTimeout = counterTimeout;
  settings.maxUnits = std::max(1.0, 4 * units);
  settings.allowCancel = allowCancel;
  settings.allowHedging = allowHedging;
  settings.allowRetryAfter = true;
  settings.maxAttempts = maxAttempts;
  settings.maxRetryAfter = maxRetryAfter;
  settings.connectTimeout = connectTimeout;
  settings.startCapacity = startCapacity;
  settings.overloadMultiple = overloadMultiple;
  settings.slowStartTime = slowStartTime;
  settings.overloadWindow = overloadWindow;
  config.idleTimeout = idleTimeout;
  config.answerSlack = answerSlack;
  config.longestDeadline = longestDeadline();
  config.drainGrace = drainGrace;
  return config;
}

}  // namespace merlinbridge::emulator
