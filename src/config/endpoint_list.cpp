#include "config/endpoint_list.hpp"

namespace merlinbridge::config {

EndpointList readEndpointList(const Fields& f) {
  EndpointList endpoints{f.need<std::uint64_t>("generation"), f.get("reset", false), {}};
  simdjson::dom::array entries;
  if (!f.has("instances")) return endpoints;
  if (f.need<element>("instances").get(entries)) f.blame("instances", "is not an array");
  for (const element entry : entries) {
    const Fields line("instances", entry);
    // Guards against a start that no clock can hold: it is no date, and so long ago.
    auto started = line.get("startedAtMs", std::int64_t{0});
    if (started < 0 ||
        started > std::chrono::duration_cast<std::chrono::milliseconds>(Duration::max()).count())
      started = 0;
    const auto state = line.need<std::string_view>("lifecycle");
    endpoints.entries.push_back({std::string(line.need<std::string_view>("instanceId")),
                                 std::string(line.get<std::string_view>("hostPort", "")),
                                 std::string(line.get<std::string_view>("zone", "")),
                                 std::string(line.get<std::string_view>("machineType", "")),
                                 line.get("cell", std::int64_t{-1}), state == "in_service",
                                 state == "terminated", line.get("weight", 1.0),
                                 std::chrono::milliseconds(started)});
  }
  return endpoints;
}

}  // namespace merlinbridge::config
