#include "simulator_adapter/message_reader.hpp"

#include <array>
#include <istream>
#include <utility>

#include "config/policy_settings_reader.hpp"
#include "simulator_adapter/wire_names.hpp"

namespace merlinbridge::simulator_adapter {
namespace {

using config::ConfigError;
using config::element;
using config::JsonFields;

/// Number of characters of an invalid line that the error quotes.
constexpr std::size_t kQuotedCharacters = 60;

/// A name on the wire and the value that it denotes.
template <class Value>
struct WireName {
  std::string_view name;
  Value value;
};

constexpr std::array kMessageNames{
    WireName<MessageKind>{"turn", MessageKind::batchStarted},
    WireName<MessageKind>{"eofBatch", MessageKind::batchEnded},
    WireName<MessageKind>{"init", MessageKind::gatewayStarted},
    WireName<MessageKind>{"down", MessageKind::gatewayStopped},
    WireName<MessageKind>{"demand", MessageKind::requestArrived},
    WireName<MessageKind>{"cancelledByClient", MessageKind::clientDisconnected},
    WireName<MessageKind>{"result", MessageKind::attemptEnded},
    WireName<MessageKind>{"fired", MessageKind::timerFired},
    WireName<MessageKind>{"counted", MessageKind::counterCallEnded},
    WireName<MessageKind>{"peersKnown", MessageKind::endpointsUpdated},
    // Not needed: a response that ends early after its head counts as answered, and `result` says so.
    WireName<MessageKind>{"headReceived", MessageKind::ignored},
    // The result of a health check; the gateways send none.
    WireName<MessageKind>{"pingResult", MessageKind::ignored},
    // A message from another gateway; the gateways exchange none.
    WireName<MessageKind>{"mail", MessageKind::ignored},
};

constexpr std::array kOutcomeNames{
    WireName<Outcome>{"served", Outcome::ok},
    WireName<Outcome>{"turned_away", Outcome::rejected},
    WireName<Outcome>{"no_answer", Outcome::noResponse},
    WireName<Outcome>{"no_connection", Outcome::noConnection},
    WireName<Outcome>{"connection_lost", Outcome::lost},
    WireName<Outcome>{"called_off", Outcome::cancelled},
    WireName<Outcome>{"not_sent", Outcome::notSent},
    WireName<Outcome>{"server_error", Outcome::error},
};

template <class Value, std::size_t count>
std::optional<Value> valueOf(std::string_view name, const std::array<WireName<Value>, count>& names) {
  for (const auto& known : names)
    if (known.name == name) return known.value;
  return std::nullopt;
}

Outcome parseOutcome(const JsonFields& fields) {
  const auto outcome = valueOf(fields.require<std::string_view>("code"), kOutcomeNames);
  if (!outcome) fields.fail("code", "is not a known outcome");
  return *outcome;
}

CounterCallOutcome parseCounterOutcome(std::string_view code) {
  if (code == "served") return CounterCallOutcome::ok;
  if (code == "turned_away" || code == "no_connection") return CounterCallOutcome::notAdded;
  return CounterCallOutcome::unknown;
}

LoadReport parseLoad(const JsonFields& fields, const std::vector<std::string>& fieldNames) {
  LoadReport load;
  if (!fields.has("stats")) return load;
  simdjson::dom::array stats;
  if (fields.require<element>("stats").get(stats)) fields.fail("stats", "is not an array");
  auto name = fieldNames.begin();
  for (const element stat : stats) {
    double value = 0;
    if (stat.get(value)) fields.fail("stats", "contains a value that is not a number");
    if (name == fieldNames.end()) break;
    config::setLoadField(load, *name++, value);
  }
  return load;
}

config::Endpoint parseEndpoint(const JsonFields& fields) {
  const auto state = fields.require<std::string_view>("stageState");
  config::Endpoint endpoint;
  endpoint.name = fields.require<std::string_view>("host");
  endpoint.zone = std::to_string(fields.get("area", 0u));
  endpoint.machine = std::to_string(fields.get("hw", 0u));
  endpoint.cell = fields.get("bay", std::int64_t{-1});
  endpoint.serving = state == "in_service";
  endpoint.gone = state == "terminated";
  endpoint.weight = fields.get("weight", 1.0);
  endpoint.started = fields.duration("bootTime", Duration{0});
  return endpoint;
}

}  // namespace

std::optional<Message> MessageReader::next() {
  do {
    if (!std::getline(in_, line_)) return std::nullopt;
  } while (line_.find_first_not_of(" \t\r") == std::string::npos);
  line_.reserve(line_.size() + simdjson::SIMDJSON_PADDING);
  simdjson::dom::object message;
  if (parser_.parse(line_).get(message))
    throw ConfigError("input line is not a JSON object: " + line_.substr(0, kQuotedCharacters));
  if (message.size() != 1)
    throw ConfigError("message must be an object with exactly one member: " +
                      line_.substr(0, kQuotedCharacters));
  const auto [name, body] = *message.begin();
  if (!body.is_object()) throw ConfigError(std::string(name) + ": value is not a JSON object");
  return Message{valueOf(name, kMessageNames).value_or(MessageKind::unknown), name, JsonFields(name, body)};
}

TimePoint parseBatchTime(const JsonFields& fields) {
  return TimePoint(fields.duration("wall"));
}

std::int64_t parseGatewayNumber(const JsonFields& fields) {
  return fields.require<std::int64_t>("i");
}

GatewayStart parseGatewayStart(const JsonFields& fields) {
  const JsonFields profile = fields.section("profileData");
  GatewayStart start{config::loadFieldNames(profile), config::readSettings(profile)};
  start.config.seed = fields.require<std::uint64_t>("rngSeed");
  return start;
}

WireRequestId parseRequestIdField(const JsonFields& fields) {
  const auto id = parseRequestId(fields.require<std::string_view>("id"));
  if (!id) fields.fail("id", "is not 16 hex digits");
  return *id;
}

RequestArrival parseRequestArrival(const JsonFields& fields) {
  RequestArrival arrival;
  arrival.id = parseRequestIdField(fields);
  Request& request = arrival.request;
  request.customer = {fields.get("apiKey", std::uint64_t{0})};
  request.plan = {fields.get("tariff", 0u)};
  request.method = {fields.get("class", 0u)};
  request.deadline = TimePoint(fields.duration("dropDead"));
  request.units = fields.get("costUnits", 1.0);
  request.gateways = fields.get("doors", 0u);
  return arrival;
}

AttemptEnd parseAttemptEnd(const JsonFields& fields, const std::vector<std::string>& loadFieldNames) {
  AttemptEnd end;
  end.attempt = {fields.require<std::uint32_t>("sendNo")};
  end.outcome = parseOutcome(fields);
  end.trueUnits = fields.get("finalUnits", 0.0);
  end.load = parseLoad(fields, loadFieldNames);
  end.duration = fields.duration("elapsed", Duration{0});
  end.responseForwarded = fields.get("finished", false);
  return end;
}

std::optional<CounterCallEnd> parseCounterCallEnd(const JsonFields& fields) {
  const auto key = parseCounterName(fields.require<std::string_view>("counter"));
  CounterCallEnd end;
  end.outcome = parseCounterOutcome(fields.require<std::string_view>("code"));
  if (!key) return std::nullopt;
  end.key = *key;
  if (end.outcome == CounterCallOutcome::ok) end.total = fields.get("level", 0.0);
  end.duration = fields.duration("elapsed", Duration{0});
  return end;
}

std::optional<config::EndpointList> parseEndpointList(const JsonFields& fields) {
  const auto how = fields.require<std::string_view>("how");
  if (how == "lost") return std::nullopt;
  config::EndpointList endpoints;
  endpoints.generation = fields.get("gen", std::uint64_t{0});
  endpoints.complete = how != "incr";
  if (!fields.has("hosts")) return endpoints;
  simdjson::dom::array entries;
  if (fields.require<element>("hosts").get(entries)) fields.fail("hosts", "is not an array");
  for (const element entry : entries)
    endpoints.entries.push_back(parseEndpoint(JsonFields("peersKnown.hosts", entry)));
  return endpoints;
}

}  // namespace merlinbridge::simulator_adapter
