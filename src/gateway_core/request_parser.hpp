#pragma once

#include <string_view>

#include "gateway_core/name_table.hpp"
#include "http/message.hpp"
#include "policy_api/decision_engine.hpp"

namespace merlinbridge::core {

/// The kinds of name that clients and discovery use, as dense ids.
struct NameTables {
  NameTable<MethodId> methods;
  NameTable<PlanId> plans;
  NameTable<ZoneId> zones;
  NameTable<MachineId> machines;
};

/// What a client's message says of its request; where it cannot be one, `fault` says why.
struct ParsedRequest {
  std::string_view fault;
  Request request;  ///< without the request's id; the deadline counted from the time given
};

ParsedRequest parseRequest(const http::Message&, const NameTables&, const PolicySettings&, TimePoint came);

}  // namespace merlinbridge::core
