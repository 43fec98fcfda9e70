#include "config/policy_settings_reader.hpp"

namespace merlinbridge::config {
namespace {

Method readMethod(const Fields& f) {
  const auto effect = f.need<std::string_view>("effect");
  const auto group = f.get<std::string_view>("group", "cell");
  return {effect == "free" ? Repeat::idempotent
                           : (effect == "guarded" ? Repeat::deduplicated : Repeat::nonIdempotent),
          group == "all" ? Group::all : (group == "zone" ? Group::zone : Group::cell),
          f.duration("window", Duration{0}), f.duration("promise"), f.get("importance", 1.0)};
}

Plan readPlan(const Fields& f) {
  return {f.get("unitsPerS", 0.0), f.get("storeSize", 0.0), f.get("open", 0),   f.get("neverOverRate", 0.0),
          f.get("capDepth", 0.0),  f.get("hardSlack", 0.0), f.get("price", 1.0)};
}

// What the operators' page has where the settings are silent. No wait may be without end, nor over at once.
constexpr Duration kConnectTimeout = std::chrono::milliseconds(250);

Duration positive(const Fields& f, std::string_view field, Duration otherwise) {
  const Duration span = f.duration(field, otherwise);
  return span > Duration{0} ? span : otherwise;
}

template <class T, class Read>
std::vector<T> readEach(const Fields& f, std::string_view field, Read read) {
  std::vector<T> all;
  simdjson::dom::array entries;
  if (f.need<element>(field).get(entries)) f.blame(field, "is not an array");
  for (const element entry : entries) all.push_back(read(Fields(field, entry)));
  return all;
}

}  // namespace

PolicySettings readPolicySettings(const Fields& profile) {
  const Fields family = profile.partOrNone("familyInfo"), limits = profile.partOrNone("limits"),
               rules = profile.part("rules");
  // Guards against settings without plans: all customers then have one without a quota.
  std::vector<Plan> plans =
      profile.has("tariffs") ? readEach<Plan>(profile, "tariffs", readPlan) : std::vector<Plan>{};
  if (plans.empty()) plans.push_back({0, 0, 0, 0, 0, 0, 1});
  const Duration connectTimeout = positive(limits, "connectTimeout", kConnectTimeout);
  return {
      .methods = readEach<Method>(profile, "requestClasses", readMethod),
      .plans = std::move(plans),
      .gateways = profile.get("siblings", 1u),
      .counter = family.get("hasCounter", false),
      .counterTimeout = positive(family, "countLimit", connectTimeout),
      .maxUnits = family.get("largest", 1.0),
      .allowCancel = limits.get("cancel", false),
      .allowHedging = limits.get("secondCopies", false),
      .allowRetryAfter = limits.get("retryAfter", false),
      .maxAttempts = limits.get("tryLimit", 1u),
      .maxRetryAfter = limits.duration("maxRetryAfter", Duration{0}),
      .connectTimeout = connectTimeout,
      .startCapacity = rules.need<double>("startCapacity"),
      .overloadMultiple = rules.need<double>("tipMultiple"),
      .slowStartTime = rules.duration("cold"),
      .overloadWindow = rules.duration("fall"),
  };
}

std::vector<std::string> loadFieldNames(const Fields& profile) {
  const Fields feedback = profile.partOrNone("feedback");
  std::vector<std::string> names;
  simdjson::dom::array entries;
  if (!feedback.has("fields")) return names;
  if (feedback.need<element>("fields").get(entries)) feedback.blame("fields", "is not an array");
  for (const element entry : entries) {
    std::string_view name;
    if (entry.get(name)) feedback.blame("fields", "holds what is not a name");
    names.emplace_back(name);
  }
  return names;
}

void readLoadFigure(LoadReport& load, std::string_view name, double value) {
  if (name == "outstanding" || name == "inflight") load.inFlight = value;
  if (name == "backlog" || name == "queue") load.queued = value;
  if (name == "recent_ms" || name == "latency_ms") load.serviceSeconds = value / 1000;
  if (name == "throughput" || name == "qps") load.answersPerSecond = value;
  if (name == "utilization" || name == "util") load.utilization = value;
}

}  // namespace merlinbridge::config
