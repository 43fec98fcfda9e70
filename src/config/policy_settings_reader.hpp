#pragma once

#include <string>
#include <vector>

#include "config/json_fields.hpp"
#include "policy_api/decision_engine.hpp"
#include "policy_api/policy_settings.hpp"

namespace merlinbridge::config {

/// Reads the decision engine's settings from the platform's settings; missing ones get their defaults. Throws
/// ConfigError.
PolicySettings readPolicySettings(const JsonFields& profile);
/// The names of the fields of a host's load report, in the order in which the simulator sends them. Throws
/// ConfigError.
std::vector<std::string> loadFieldNames(const JsonFields& profile);
/// Sets one field of a host's load report, by either of its names. Unknown names are ignored.
void setLoadField(LoadReport& load, std::string_view name, double value);

}  // namespace merlinbridge::config
