#include "config/endpoint_list.hpp"

namespace merlinbridge::config {
namespace {

// Values of `lifecycle`; any other value means that the host is starting or draining.
constexpr std::string_view kInService = "in_service";
constexpr std::string_view kTerminated = "terminated";

// A start time that does not fit a Duration is treated as unknown.
Duration readStart(const JsonFields& endpoint) {
  constexpr auto kLatest = std::chrono::duration_cast<std::chrono::milliseconds>(Duration::max()).count();
  const auto started = endpoint.get("startedAtMs", std::int64_t{0});
  if (started < 0 || started > kLatest) return Duration{0};
  return std::chrono::milliseconds(started);
}

Endpoint readEndpoint(const JsonFields& fields) {
  const Duration started = readStart(fields);
  const auto state = fields.require<std::string_view>("lifecycle");
  Endpoint endpoint;
  endpoint.name = fields.require<std::string_view>("instanceId");
  endpoint.address = fields.get<std::string_view>("hostPort", "");
  endpoint.zone = fields.get<std::string_view>("zone", "");
  endpoint.machine = fields.get<std::string_view>("machineType", "");
  endpoint.cell = fields.get("cell", std::int64_t{-1});
  endpoint.serving = state == kInService;
  endpoint.gone = state == kTerminated;
  endpoint.weight = fields.get("weight", 1.0);
  endpoint.started = started;
  return endpoint;
}

}  // namespace

EndpointList readEndpointList(const JsonFields& message) {
  EndpointList endpoints{message.require<std::uint64_t>("generation"), message.get("reset", false), {}};
  if (!message.has("instances")) return endpoints;
  for (const element entry : message.array("instances"))
    endpoints.entries.push_back(readEndpoint(JsonFields("instances", entry)));
  return endpoints;
}

}  // namespace merlinbridge::config
