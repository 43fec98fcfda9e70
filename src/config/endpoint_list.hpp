#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/json_fields.hpp"

namespace merlinbridge::config {

/// One host as discovery reports it.
struct Endpoint {
  std::string name;
  std::string address;     ///< As "10.0.0.4:8080"; not checked here.
  std::string zone;        ///< Failure domain; may be empty.
  std::string machine;     ///< Machine type; may be empty.
  std::int64_t cell = -1;  ///< -1: the host belongs to no cell.
  bool serving = false;    ///< Accepts new requests; otherwise it is starting, draining or gone.
  bool gone = false;       ///< Will not return; its HostId may be reused for another host.
  double weight = 1;       ///< Weight in host selection, relative to the other hosts.
  Duration started{};      ///< Start time since the Unix epoch; 0: unknown, treated as long ago.
};

/// A message from discovery: the complete list of hosts, or only those that have changed.
struct EndpointList {
  std::uint64_t generation = 0;
  bool complete = false;  ///< Hosts that are not listed are gone.
  std::vector<Endpoint> entries;
};

/// Reads a message from discovery, or the list in the platform's file. Throws ConfigError.
EndpointList readEndpointList(const JsonFields& message);

}  // namespace merlinbridge::config
