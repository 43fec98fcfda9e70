#pragma once

#include <string_view>

#include "front/names.hpp"
#include "http/message.hpp"
#include "policy_api/decision_engine.hpp"

namespace merlinbridge::front {

// The kinds of name that clients and discovery use, as dense ids.
struct Words {
  Names<MethodId> methods;
  Names<PlanId> plans;
  Names<ZoneId> zones;
  Names<MachineId> machines;
};

// What a client's message says of its request; where it cannot be one, `fault` says why.
struct Ask {
  std::string_view fault;
  Request request;  // without the request's id; the deadline counted from the time given
};

Ask readAsk(const http::Message&, const Words&, const PolicySettings&, TimePoint came);

}  // namespace merlinbridge::front
