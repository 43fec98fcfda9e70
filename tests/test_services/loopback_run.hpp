#pragma once

#include <cstdint>
#include <string>

#include "emulator/metrics.hpp"

namespace merlinbridge::test_services {

/// Plays a scenario in real time with daemons as the gateways and test services on loopback, and returns what
/// the clients, hosts and the counter service have counted. `program`: the daemon's path. Throws
/// lab::LabError if a daemon does not start or does not exit with 0.
emulator::Metrics playOnLoopback(const emulator::Scenario&, std::uint64_t seed, const std::string& program);

}  // namespace merlinbridge::test_services
