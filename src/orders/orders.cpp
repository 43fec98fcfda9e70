#include "orders/orders.hpp"

#include <algorithm>
#include <charconv>

#include "orders/terms_reader.hpp"

namespace merlinbridge::orders {
namespace {

std::vector<std::string> namesOf(const Fields& f, std::string_view field) {
  std::vector<std::string> names;
  simdjson::dom::array entries;
  if (!f.has(field)) return names;
  if (f.need<element>(field).get(entries)) f.blame(field, "is not an array");
  for (const element entry : entries) {
    std::string_view name;
    if (entry.get(name) && (entry["name"].get(name))) f.blame(field, "holds what has no name");
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

Orders readOrders(std::string text) {
  text.reserve(text.size() + simdjson::SIMDJSON_PADDING);
  simdjson::dom::parser parser;
  element root;
  if (parser.parse(text).get(root) || !root.is_object()) throw BadInput("the file is not a JSON object");
  const Fields f("config", root);
  const Fields profile = f.part("settings"), limits = f.partOrNone("limits"), rules = profile.part("rules"),
               ways = profile.partOrNone("limits");
  Orders orders{
      .name = std::string(f.get<std::string_view>("name", "")),
      .listen = std::string(f.need<std::string_view>("listen")),
      .discovery = std::string(f.need<std::string_view>("discovery")),
      .counter = std::string(f.get<std::string_view>("counter", "")),
      .seed = readSeed(f),
      .sockets = limits.get("sockets", std::size_t{1024}),
      .known = f.has("known") ? readRoster(f.part("known")) : Roster{0, true, {}},
      .terms = readTerms(profile),
      .methods = namesOf(profile, "requestClasses"),
      .plans = namesOf(profile, "tariffs"),
      .zones = namesOf(profile, "failureDomains"),
      .machines = namesOf(profile, "machineTypes"),
      .idle = ways.span("connIdle", std::chrono::seconds(30)),
      .answerSlack = rules.span("answerSlack", Span{0}),
      .longestDeadline = longestDeadlineOf(profile),
  };
  if (orders.terms.methods.empty()) profile.blame("requestClasses", "is empty");
  if (orders.counter.empty()) orders.terms.counter = false;
  return orders;
}

}  // namespace merlinbridge::orders
