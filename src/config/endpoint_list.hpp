#pragma once

#include <string>
#include <vector>

#include "config/json_fields.hpp"

namespace merlinbridge::config {

struct Endpoint {
  std::string name, address, zone, machine;
  std::int64_t cell = -1;
  bool serving = false, gone = false;
  double weight = 1;
  Duration started{};  ///< since the clock's origin; 0: long ago
};

/// Discovery's word on the hosts: the whole list, or what has changed.
struct EndpointList {
  std::uint64_t generation = 0;
  bool complete = false;
  std::vector<Endpoint> entries;
};

EndpointList readEndpointList(const Fields&);

}  // namespace merlinbridge::config
