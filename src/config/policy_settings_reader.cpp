#include "config/policy_settings_reader.hpp"

namespace merlinbridge::config {
namespace {

// Used if the setting is missing or not positive: a wait without end, or one that ends at once, is not
// allowed.
constexpr Duration kDefaultConnectTimeout = std::chrono::milliseconds(250);
// The plan of all customers if the settings have no plans: no quota, no ceiling, and price 1.
constexpr Plan kUnlimitedPlan{0, 0, 0, 0, 0, 0, 1};

constexpr double kMillisecondsPerSecond = 1000;

Idempotency repeatNamed(std::string_view effect) {
  if (effect == "free") return Idempotency::idempotent;
  return effect == "guarded" ? Idempotency::deduplicated : Idempotency::nonIdempotent;
}

DeduplicationScope groupNamed(std::string_view group) {
  if (group == "all") return DeduplicationScope::all;
  return group == "zone" ? DeduplicationScope::zone : DeduplicationScope::cell;
}

Method readMethod(const JsonFields& method) {
  return {repeatNamed(method.require<std::string_view>("effect")),
          groupNamed(method.get<std::string_view>("group", "cell")), method.duration("window", Duration{0}),
          method.duration("promise"), method.get("importance", 1.0)};
}

Plan readPlan(const JsonFields& plan) {
  return {plan.get("unitsPerS", 0.0),     plan.get("storeSize", 0.0), plan.get("open", 0),
          plan.get("neverOverRate", 0.0), plan.get("capDepth", 0.0),  plan.get("hardSlack", 0.0),
          plan.get("price", 1.0)};
}

/// The duration in the field, or the default value if that is missing or not above 0.
Duration positiveDuration(const JsonFields& section, std::string_view field, Duration defaultValue) {
  const Duration duration = section.duration(field, defaultValue);
  return duration > Duration{0} ? duration : defaultValue;
}

/// The number in the field; nothing if that is missing or 0, as in all fields that limit something. Throws a
/// ConfigError if it is negative.
std::optional<double> optionalLimit(const JsonFields& section, std::string_view field) {
  const double limit = section.get(field, 0.0);
  if (limit < 0) section.fail(field, ConfigFault::negative);
  return limit > 0 ? std::optional(limit) : std::nullopt;
}

template <class Value, class Read>
std::vector<Value> readEach(const JsonFields& section, std::string_view field, Read read) {
  std::vector<Value> values;
  for (const element entry : section.array(field)) values.push_back(read(JsonFields(field, entry)));
  return values;
}

std::vector<Plan> readPlans(const JsonFields& profile) {
  std::vector<Plan> plans;
  if (profile.has("tariffs")) plans = readEach<Plan>(profile, "tariffs", readPlan);
  if (plans.empty()) plans.push_back(kUnlimitedPlan);
  return plans;
}

}  // namespace

PolicySettings readPolicySettings(const JsonFields& profile) {
  const JsonFields family = profile.optionalSection("familyInfo");
  const JsonFields limits = profile.optionalSection("limits");
  const JsonFields rules = profile.section("rules");
  std::vector<Plan> plans = readPlans(profile);
  const Duration connectTimeout = positiveDuration(limits, "connectTimeout", kDefaultConnectTimeout);
  return {
      .methods = readEach<Method>(profile, "requestClasses", readMethod),
      .plans = std::move(plans),
      .gateways = profile.get("siblings", 1u),
      .hasCounter = family.get("hasCounter", false),
      .counterTimeout = positiveDuration(family, "countLimit", connectTimeout),
      .maxUnits = optionalLimit(family, "largest"),
      .allowCancel = limits.get("cancel", false),
      .allowHedging = limits.get("secondCopies", false),
      .allowRetryAfter = limits.get("retryAfter", false),
      .maxAttempts = limits.get("tryLimit", 1u),
      .maxRetryAfter = limits.duration("maxRetryAfter", Duration{0}),
      .connectTimeout = connectTimeout,
      .startCapacity = rules.require<double>("startCapacity"),
      .overloadMultiple = rules.require<double>("tipMultiple"),
      .slowStartTime = rules.duration("cold"),
      .overloadWindow = rules.duration("fall"),
  };
}

std::vector<std::string> loadFieldNames(const JsonFields& profile) {
  const JsonFields feedback = profile.optionalSection("feedback");
  std::vector<std::string> names;
  if (!feedback.has("fields")) return names;
  for (const element entry : feedback.array("fields")) {
    std::string_view name;
    if (entry.get(name)) feedback.fail("fields", ConfigFault::notAString);
    names.emplace_back(name);
  }
  return names;
}

void setLoadField(LoadReport& load, std::string_view name, double value) {
  if (name == "outstanding" || name == "inflight") load.inFlight = value;
  if (name == "backlog" || name == "queue") load.queued = value;
  if (name == "recent_ms" || name == "latency_ms") load.serviceSeconds = value / kMillisecondsPerSecond;
  if (name == "throughput" || name == "qps") load.responsesPerSecond = value;
  if (name == "utilization" || name == "util") load.utilization = value;
}

}  // namespace merlinbridge::config
