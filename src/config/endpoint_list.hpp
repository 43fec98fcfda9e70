#pragma once

#include <string>
#include <vector>

#include "config/json_fields.hpp"

namespace merlinbridge::config {

struct RosterLine {
  std::string name, address, zone, machine;
  std::int64_t cell = -1;
  bool serving = false, gone = false;
  double weight = 1;
  Span started{};  // since the clock's origin; 0: long ago
};

// Discovery's word on the hosts: the whole list, or what has changed.
struct Roster {
  std::uint64_t generation = 0;
  bool whole = false;
  std::vector<RosterLine> lines;
};

Roster readRoster(const Fields&);

}  // namespace merlinbridge::config
