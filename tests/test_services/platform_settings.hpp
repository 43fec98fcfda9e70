#pragma once

#include <cstdint>
#include <string>

#include "emulator/scenario.hpp"

namespace merlinbridge::test_services {

/// The platform's settings as JSON: they configure a daemon as `scenario` configures an emulated gateway.
/// `gatewayNumber` counts from 0.
std::string platformSettings(const emulator::Scenario&, std::uint32_t gatewayNumber);

}  // namespace merlinbridge::test_services
