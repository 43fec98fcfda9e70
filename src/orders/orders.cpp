#include "orders/orders.hpp"

#include <algorithm>
#include <charconv>

#include "orders/policy_settings_reader.hpp"

namespace merlinbridge::orders {
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

Span longestDeadlineOf(const Fields& profile) {
  Span longest{0};
  simdjson::dom::array entries;
  if (profile.need<element>("requestClasses").get(entries))
    profile.blame("requestClasses", "is not an array");
  for (const element entry : entries)
    longest = std::max(longest, Fields("requestClasses", entry).span("hardLimit", Span{0}));
  return longest;
}

}  // namespace

Orders readProfile(const Fields& profile) {
  const Fields ways = profile.partOrNone("limits");
  Orders orders{};
  orders.settings = readPolicySettings(profile);
  orders.methods = namesOf(profile, "requestClasses"), orders.plans = namesOf(profile, "tariffs");
  orders.zones = namesOf(profile, "failureDomains"), orders.machines = namesOf(profile, "machineTypes");
  orders.idle = ways.span("connIdle", std::chrono::seconds(30));
  orders.step = profile.span("step", Span{0});
  orders.answerSlack = profile.part("rules").span("answerSlack", Span{0});
  orders.drainGrace = profile.part("rules").span("drainGrace", orders.settings.connectTimeout);
  orders.longestDeadline = longestDeadlineOf(profile);
  return orders;
}

Orders readOrders(std::string text) {
  text.reserve(text.size() + simdjson::SIMDJSON_PADDING);
  simdjson::dom::parser parser;
  element root;
  if (parser.parse(text).get(root) || !root.is_object()) throw BadInput("the file is not a JSON object");
  const Fields f("config", root);
  Orders orders = readProfile(f.part("settings"));
  orders.name = f.get<std::string_view>("name", "");
  orders.listen = f.need<std::string_view>("listen");
  orders.discovery = f.need<std::string_view>("discovery");
  orders.counter = f.get<std::string_view>("counter", "");
  orders.seed = readSeed(f);
  orders.sockets = f.partOrNone("limits").get("sockets", std::size_t{1024});
  orders.known = f.has("known") ? readRoster(f.part("known")) : Roster{0, true, {}};
  if (orders.counter.empty()) orders.settings.counter = false;
  return orders;
}

}  // namespace merlinbridge::orders
