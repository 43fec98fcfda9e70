#include "platform_settings.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace merlinbridge::test_services {
namespace {

using emulator::Scenario;

std::int64_t microseconds(Duration duration) {
  return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
}

std::string_view effectOf(Idempotency repeat) {
  switch (repeat) {
    case Idempotency::idempotent:
      return "free";
    case Idempotency::deduplicated:
      return "guarded";
    default:
      return "single_shot";
  }
}

std::string_view groupName(DeduplicationScope group) {
  switch (group) {
    case DeduplicationScope::all:
      return "all";
    case DeduplicationScope::zone:
      return "zone";
    default:
      return "cell";
  }
}

std::string requestClasses(const Scenario& scenario) {
  std::string classes;
  for (const auto& method : scenario.methods)
    classes += fmt::format(
        R"({}{{"name":"{}","effect":"{}","group":"{}","window":{},"promise":{},"hardLimit":{},"importance":{}}})",
        classes.empty() ? "" : ",", method.name, effectOf(method.idempotency),
        groupName(method.deduplicationScope), microseconds(method.deduplicationWindow),
        microseconds(method.softDeadline), microseconds(method.deadline), method.utility);
  return classes;
}

std::string tariffs(const Scenario& scenario) {
  std::string all;
  for (const auto& entry : scenario.plans)
    all += fmt::format(
        R"({}{{"name":"{}","unitsPerS":{},"storeSize":{},"open":{},"neverOverRate":{},"capDepth":{},"hardSlack":{},"price":{}}})",
        all.empty() ? "" : ",", entry.name, entry.plan.rate, entry.plan.burst, entry.plan.maxInFlight,
        entry.plan.ceilingRate, entry.plan.ceilingBurst, entry.plan.ceilingSlack, entry.plan.price);
  return all;
}

}  // namespace

std::string platformSettings(const Scenario& scenario, std::uint32_t gatewayNumber) {
  const double maxUnits = std::max(1.0, 4 * scenario.units);
  return fmt::format(
      R"({{"siblings":{},"me":{},"requestClasses":[{}],"tariffs":[{}],"familyInfo":{{"hasCounter":{},"countLimit":{},"largest":{}}},)"
      R"("limits":{{"connectTimeout":{},"connIdle":{},"cancel":{},"secondCopies":{},"tryLimit":{},"retryAfter":true,"maxRetryAfter":{}}},)"
      R"("rules":{{"startCapacity":{},"tipMultiple":{},"cold":{},"fall":{},"answerSlack":{},"drainGrace":{}}}}})",
      scenario.gateways, gatewayNumber, requestClasses(scenario), tariffs(scenario), scenario.hasCounter,
      microseconds(scenario.counterTimeout), maxUnits, microseconds(scenario.connectTimeout),
      microseconds(scenario.idleTimeout), scenario.allowCancel, scenario.allowHedging, scenario.maxAttempts,
      microseconds(scenario.maxRetryAfter), scenario.startCapacity, scenario.overloadMultiple,
      microseconds(scenario.slowStartTime), microseconds(scenario.overloadWindow),
      microseconds(scenario.answerSlack), microseconds(scenario.drainGrace));
}

}  // namespace merlinbridge::test_services
