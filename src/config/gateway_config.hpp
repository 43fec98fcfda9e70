#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/endpoint_list.hpp"
#include "policy_api/policy_settings.hpp"

namespace merlinbridge::config {

/// What the daemon is told at start: the module's terms, and what the sockets need.
struct GatewayConfig {
  std::string name, listen, discovery, counter;  ///< counter: empty where there is none
  std::uint64_t seed = 0;
  std::size_t sockets = 0;  ///< descriptors that may be open
  EndpointList known;
  PolicySettings settings;
  std::vector<std::string> methods, plans, zones, machines;
  Duration idle{};         ///< a host closes a connection that rested so long
  Duration step{};         ///< what comes closer together than that is as good as at once
  Duration answerSlack{};  ///< an answer this long after the deadline still counts
  Duration longestDeadline{};
  Duration drainGrace{};  ///< what discovery tells must be heeded by then
};

/// The part of it that is the settings; the rest is left empty.
GatewayConfig readSettings(const Fields& profile);
/// From the text of the file that the environment names. Throws BadInput.
GatewayConfig readGatewayConfig(std::string text);

}  // namespace merlinbridge::config
