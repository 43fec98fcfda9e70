#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/endpoint_list.hpp"
#include "policy_api/policy_settings.hpp"

namespace merlinbridge::config {

/// The platform's configuration of one gateway. It is read at start-up; a reload on SIGHUP applies only the
/// addresses of discovery and the counter service.
struct GatewayConfig {
  std::string name;                ///< Name of the gateway.
  std::string listenAddress;       ///< For clients, as "10.0.0.4:8080"; addresses are not checked here.
  std::string discoveryAddress;    ///< The discovery agent.
  std::string counterAddress;      ///< The counter service; empty: there is none.
  std::uint64_t seed = 0;          ///< Seed of all random numbers.
  std::size_t maxDescriptors = 0;  ///< Limit on open descriptors, over all kinds of connections.
  std::size_t maxMemoryBytes = 0;  ///< Limit on the memory of the process.
  EndpointList knownEndpoints;     ///< The hosts to use until discovery responds.
  PolicySettings settings;
  std::vector<std::string> methodNames;   ///< Indexed by MethodId.
  std::vector<std::string> planNames;     ///< Indexed by PlanId.
  std::vector<std::string> zoneNames;     ///< Indexed by ZoneId.
  std::vector<std::string> machineNames;  ///< Indexed by MachineId.
  Duration idleTimeout{};                 ///< Hosts close connections that have been idle this long.
  Duration timerSlack{};                  ///< Timers may fire this much late.
  Duration answerSlack{};                 ///< A response this long after its deadline still counts.
  Duration longestDeadline{};             ///< The longest deadline of all methods.
  Duration drainGrace{};  ///< No request may reach a host later than this after it began to drain.
};

/// Reads only the settings; the other members keep their defaults. Throws ConfigError.
GatewayConfig readSettings(const JsonFields& profile);
/// Reads the contents of the platform's JSON file. Throws ConfigError.
GatewayConfig readGatewayConfig(std::string text);

}  // namespace merlinbridge::config
