#include "config/gateway_config.hpp"

#include <algorithm>
#include <charconv>

#include "config/policy_settings_reader.hpp"

namespace merlinbridge::config {
namespace {

// Where the platform's file is silent.
constexpr Duration kDefaultIdleTime = std::chrono::seconds(30);
constexpr std::size_t kDefaultSockets = 1024;

constexpr int kSeedBase = 16;

std::vector<std::string> namesOf(const Fields& profile, std::string_view field) {
  std::vector<std::string> names;
  if (!profile.has(field)) return names;
  for (const element entry : profile.array(field)) {
    std::string_view name;
    if (entry.get(name) && entry["name"].get(name)) name = {};  // a nameless entry still has its id
    names.emplace_back(name);
  }
  return names;
}

std::uint64_t readSeed(const Fields& config) {
  const auto text = config.need<std::string_view>("seed");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, kSeedBase);
  if (error != std::errc{} || end != text.data() + text.size())
    config.fail("seed", ConfigFault::notHexadecimal);
  return seed;
}

Duration longestDeadlineOf(const Fields& profile) {
  Duration longest{0};
  for (const element entry : profile.array("requestClasses"))
    longest = std::max(longest, Fields("requestClasses", entry).duration("hardLimit", Duration{0}));
  return longest;
}

}  // namespace

GatewayConfig readSettings(const Fields& profile) {
  const Fields limits = profile.optionalSection("limits");
  GatewayConfig config{};
  config.settings = readPolicySettings(profile);
  config.methods = namesOf(profile, "requestClasses");
  config.plans = namesOf(profile, "tariffs");
  config.zones = namesOf(profile, "failureDomains");
  config.machines = namesOf(profile, "machineTypes");
  config.idle = limits.duration("connIdle", kDefaultIdleTime);
  config.step = profile.duration("step", Duration{0});
  config.answerSlack = profile.section("rules").duration("answerSlack", Duration{0});
  config.drainGrace = profile.section("rules").duration("drainGrace", config.settings.connectTimeout);
  config.longestDeadline = longestDeadlineOf(profile);
  return config;
}

GatewayConfig readGatewayConfig(std::string text) {
  text.reserve(text.size() + simdjson::SIMDJSON_PADDING);
  simdjson::dom::parser parser;
  element root;
  if (parser.parse(text).get(root) || !root.is_object())
    throw ConfigError({ConfigFault::notAnObject, {}, {}, {}});
  const Fields file("config", root);
  GatewayConfig config = readSettings(file.section("settings"));
  config.name = file.get<std::string_view>("name", "");
  config.listen = file.need<std::string_view>("listen");
  config.discovery = file.need<std::string_view>("discovery");
  config.counter = file.get<std::string_view>("counter", "");
  config.seed = readSeed(file);
  config.sockets = file.optionalSection("limits").get("sockets", kDefaultSockets);
  config.known = file.has("known") ? readEndpointList(file.section("known")) : EndpointList{0, true, {}};
  if (config.counter.empty()) config.settings.hasCounter = false;
  return config;
}

}  // namespace merlinbridge::config
