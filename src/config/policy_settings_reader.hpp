#pragma once

#include <string>
#include <vector>

#include "config/json_fields.hpp"
#include "policy_api/decision_engine.hpp"
#include "policy_api/policy_settings.hpp"

namespace merlinbridge::config {

/// Reads what the decision engine needs from the platform's settings, with the defaults that hold where these
/// are silent. Throws ConfigError.
PolicySettings readPolicySettings(const JsonFields& profile);
/// The names of the figures in a host's load report, in the order in which the simulator sends them. Throws
/// ConfigError.
std::vector<std::string> loadFieldNames(const JsonFields& profile);
/// Writes one figure of a host's load report to its member, by either of its names. An unknown name has no
/// effect.
void setLoadField(LoadReport& load, std::string_view name, double value);

}  // namespace merlinbridge::config
