#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/endpoint_list.hpp"
#include "policy_api/policy_settings.hpp"

namespace merlinbridge::config {

/// The platform's configuration of one gateway. Read at the start; at SIGHUP only discovery and counter of a
/// new reading are used.
struct GatewayConfig {
  std::string name;              ///< The gateway's.
  std::string listenAddress;     ///< Address for clients, as "10.0.0.4:8080". Addresses are not checked here.
  std::string discoveryAddress;  ///< Address of the discovery agent.
  std::string counterAddress;    ///< Address of the counter service; empty: there is none.
  std::uint64_t seed = 0;        ///< Of all random draws.
  std::size_t maxDescriptors = 0;  ///< Descriptors that may be open, all kinds of connections together.
  EndpointList knownEndpoints;     ///< The hosts as last known, in force until discovery answers.
  PolicySettings settings;
  std::vector<std::string> methodNames;   ///< Names by MethodId.
  std::vector<std::string> planNames;     ///< Names by PlanId.
  std::vector<std::string> zoneNames;     ///< Names by ZoneId.
  std::vector<std::string> machineNames;  ///< Names by MachineId.
  Duration idleTimeout{};                 ///< A host closes a connection that was idle for so long.
  Duration timerSlack{};                  ///< Timers may fire that much later than due.
  Duration answerSlack{};                 ///< An answer so long after its deadline still counts.
  Duration longestDeadline{};             ///< Of all methods.
  Duration drainGrace{};                  ///< No request may reach a host so long after it began to drain.
};

/// Reads the settings alone; the rest is left empty. Throws ConfigError.
GatewayConfig readSettings(const JsonFields& profile);
/// Reads the whole text of the platform's JSON file. Throws ConfigError, which names message and field.
GatewayConfig readGatewayConfig(std::string text);

}  // namespace merlinbridge::config
