#pragma once

#include <string>
#include <vector>

#include "config/json_fields.hpp"
#include "policy_api/decision_engine.hpp"
#include "policy_api/policy_settings.hpp"

namespace merlinbridge::config {

PolicySettings readPolicySettings(const Fields& profile);
std::vector<std::string> loadFieldNames(const Fields& profile);
/// One figure of a host's load report, by either of its names. What is not known is passed over.
void readLoadFigure(LoadReport&, std::string_view name, double value);

}  // namespace merlinbridge::config
