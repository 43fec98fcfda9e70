#include "config/gateway_config.hpp"

#include <algorithm>
#include <charconv>

#include "config/policy_settings_reader.hpp"

namespace merlinbridge::config {
namespace {

// Defaults for settings that the platform's file leaves out.
constexpr Duration kDefaultIdleTimeout = std::chrono::seconds(30);
constexpr std::size_t kDefaultMaxDescriptors = 1024;

constexpr std::size_t kDefaultMemoryMegabytes = 192;
constexpr std::size_t kBytesPerMegabyte = std::size_t{1} << 20;

constexpr int kSeedBase = 16;

std::vector<std::string> namesOf(const JsonFields& profile, std::string_view field) {
  std::vector<std::string> names;
  if (!profile.has(field)) return names;
  for (const element entry : profile.array(field)) {
    std::string_view name;
    if (entry.get(name) && entry["name"].get(name))
      name = {};  // unnamed: still counts, since its index is its id
    names.emplace_back(name);
  }
  return names;
}

std::uint64_t readSeed(const JsonFields& config) {
  const auto text = config.require<std::string_view>("seed");
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, kSeedBase);
  if (error != std::errc{} || end != text.data() + text.size())
    config.fail("seed", ConfigFault::notHexadecimal);
  return seed;
}

// A limit below 1 MB is taken for a missing one: no process could keep it.
std::size_t readMemoryMegabytes(const JsonFields& limits) {
  const double megabytes = limits.get("memory_mb", double(kDefaultMemoryMegabytes));
  return megabytes >= 1 ? static_cast<std::size_t>(megabytes) : kDefaultMemoryMegabytes;
}

Duration longestDeadlineOf(const JsonFields& profile) {
  Duration longest{0};
  for (const element entry : profile.array("requestClasses"))
    longest = std::max(longest, JsonFields("requestClasses", entry).duration("hardLimit", Duration{0}));
  return longest;
}

}  // namespace

GatewayConfig readSettings(const JsonFields& profile) {
  const JsonFields limits = profile.optionalSection("limits");
  GatewayConfig config{};
  config.settings = readPolicySettings(profile);
  config.methodNames = namesOf(profile, "requestClasses");
  config.planNames = namesOf(profile, "tariffs");
  config.zoneNames = namesOf(profile, "failureDomains");
  config.machineNames = namesOf(profile, "machineTypes");
  config.idleTimeout = limits.duration("connIdle", kDefaultIdleTimeout);
  config.timerSlack = profile.duration("step", Duration{0});
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
  const JsonFields file("config", root);
  GatewayConfig config = readSettings(file.section("settings"));
  config.name = file.get<std::string_view>("name", "");
  config.listenAddress = file.require<std::string_view>("listen");
  config.discoveryAddress = file.require<std::string_view>("discovery");
  config.counterAddress = file.get<std::string_view>("counter", "");
  config.seed = readSeed(file);
  config.maxDescriptors = file.optionalSection("limits").get("sockets", kDefaultMaxDescriptors);
  config.maxMemoryBytes = kBytesPerMegabyte * readMemoryMegabytes(file.optionalSection("limits"));
  config.knownEndpoints =
      file.has("known") ? readEndpointList(file.section("known")) : EndpointList{0, true, {}};
  if (config.counterAddress.empty()) config.settings.hasCounter = false;
  return config;
}

}  // namespace merlinbridge::config
