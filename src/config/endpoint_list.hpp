#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/json_fields.hpp"

namespace merlinbridge::config {

/// One host as discovery knows it.
struct Endpoint {
  std::string name;
  std::string address;     ///< As "10.0.0.4:8080"; not checked here.
  std::string zone;        ///< Failure domain; may be empty.
  std::string machine;     ///< Type of the machine; may be empty.
  std::int64_t cell = -1;  ///< -1: in none.
  bool serving = false;    ///< May get new requests; otherwise it drains, starts or is gone.
  bool gone = false;       ///< Is not coming back; its number may be given to another host.
  double weight = 1;       ///< Of its turns, relative to the other hosts.
  Duration started{};      ///< Since the wall clock's origin; 0: long ago, or unknown.
};

/// A message of discovery: the complete list of the hosts, or what has changed.
struct EndpointList {
  std::uint64_t generation = 0;
  bool complete = false;  ///< Hosts that are not in it are gone.
  std::vector<Endpoint> entries;
};

/// Reads one message of discovery, or the list in the platform's file. Throws ConfigError.
EndpointList readEndpointList(const JsonFields& message);

}  // namespace merlinbridge::config
