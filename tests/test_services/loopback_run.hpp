#pragma once

#include <cstdint>
#include <string>

#include "emulator/metrics.hpp"

namespace merlinbridge::test_services {

/// Runs a scenario in real time with daemons as the gateways and test services on loopback, and returns the
/// metrics of the clients, the hosts and the counter service. `program`: the daemon's path. Throws
/// lab::LabError if a daemon does not start or does not exit with 0.
emulator::Metrics playOnLoopback(const emulator::Scenario&, std::uint64_t seed, const std::string& program);

}  // namespace merlinbridge::test_services
