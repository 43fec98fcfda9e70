#include "config/gateway_config.hpp"

#include <algorithm>
#include <charconv>

#include "config/policy_settings_reader.hpp"

namespace merlinbridge::config {
namespace {

std::vector<std::string> namesOf(const Fields& f, std::string_view field) {
  std::vector<std::string> names;
  simdjson::dom::array entries;
  if (!f.has(field)) return names;
  if (f.need<element>(field).get(entries)) f.blame(field, "is not an array");
  for (const element entry : entries) {
    std::string_view name;
    if (entry.get(name) && entry["name"].get(name)) name = {};  // its place counts all the same
    names.emplace_back(name);
  }
  return names;
}

std::uint64_t readSeed(const Fields& f) {
  const auto text = f.need<std::string_view>("seed");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc{} || end != text.data() + text.size()) f.blame("seed", "is not a hex number");
  return seed;
}

Duration longestDeadlineOf(const Fields& profile) {
  Duration longest{0};
  simdjson::dom::array entries;
  if (profile.need<element>("requestClasses").get(entries))
    profile.blame("requestClasses", "is not an array");
  for (const element entry : entries)
    longest = std::max(longest, Fields("requestClasses", entry).duration("hardLimit", Duration{0}));
  return longest;
}

}  // namespace

GatewayConfig readSettings(const Fields& profile) {
  const Fields transport = profile.partOrNone("limits");
  GatewayConfig config{};
  config.settings = readPolicySettings(profile);
  config.methods = namesOf(profile, "requestClasses"), config.plans = namesOf(profile, "tariffs");
  config.zones = namesOf(profile, "failureDomains"), config.machines = namesOf(profile, "machineTypes");
  config.idle = transport.duration("connIdle", std::chrono::seconds(30));
  config.step = profile.duration("step", Duration{0});
  config.answerSlack = profile.part("rules").duration("answerSlack", Duration{0});
  config.drainGrace = profile.part("rules").duration("drainGrace", config.settings.connectTimeout);
  config.longestDeadline = longestDeadlineOf(profile);
  return config;
}

GatewayConfig readGatewayConfig(std::string text) {
  text.reserve(text.size() + simdjson::SIMDJSON_PADDING);
  simdjson::dom::parser parser;
  element root;
  if (parser.parse(text).get(root) || !root.is_object()) throw ConfigError("the file is not a JSON object");
  const Fields f("config", root);
  GatewayConfig config = readSettings(f.part("settings"));
  config.name = f.get<std::string_view>("name", "");
  config.listen = f.need<std::string_view>("listen");
  config.discovery = f.need<std::string_view>("discovery");
  config.counter = f.get<std::string_view>("counter", "");
  config.seed = readSeed(f);
  config.sockets = f.partOrNone("limits").get("sockets", std::size_t{1024});
  config.known = f.has("known") ? readEndpointList(f.part("known")) : EndpointList{0, true, {}};
  if (config.counter.empty()) config.settings.counter = false;
  return config;
}

}  // namespace merlinbridge::config
