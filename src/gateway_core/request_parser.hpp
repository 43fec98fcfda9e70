#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "gateway_core/name_table.hpp"
#include "http/message.hpp"
#include "policy_api/decision_engine.hpp"

namespace merlinbridge::core {

/// The names that clients and discovery use, as dense ids. Methods and plans are those of the configuration;
/// zones and machines grow as discovery names new ones.
struct NameTables {
  NameTable<MethodId> methods;
  NameTable<PlanId> plans;
  NameTable<ZoneId> zones;
  NameTable<MachineId> machines;
};

/// Why a client's message is no request.
enum class RequestError : std::uint8_t {
  requestIdMissing,    ///< No Req-Id, or an empty one.
  methodUnknown,       ///< Req-Kind is missing or not a method of the configuration.
  planUnknown,         ///< Plan is missing or not a plan, while the configuration has plans.
  customerInvalid,     ///< Account is missing or no hex number of up to 64 bits.
  deadlineInvalid,     ///< Req-Deadline-Ms is missing or no whole number of up to 32 bits.
  unitsInvalid,        ///< The units of Quota-Info are no number from 0 to 1,000,000.
  gatewayCountInvalid  ///< The spread of Quota-Info is no whole number of up to 32 bits.
};

/// The error as the text that is sent to the client, without a line end.
constexpr std::string_view textOf(RequestError error) {
  switch (error) {
    case RequestError::requestIdMissing:
      return "Req-Id is missing";
    case RequestError::methodUnknown:
      return "Req-Kind is not known";
    case RequestError::planUnknown:
      return "Plan is not known";
    case RequestError::customerInvalid:
      return "Account is not a hex number";
    case RequestError::deadlineInvalid:
      return "Req-Deadline-Ms is not a whole number";
    case RequestError::unitsInvalid:
      return "Quota-Info has no number of units";
    case RequestError::gatewayCountInvalid:
      break;
  }
  return "Quota-Info has no spread";
}

/// What a client's message says of its request.
struct ParsedRequest {
  std::optional<RequestError> error;  ///< Set: `request` must not be used.
  Request request;                    ///< Without its id; `deadline` is counted from the arrival.
};

/// Reads the request from the header fields of a message whose head is complete (see request_fields.hpp). Of
/// a field that comes more than once, the last counts; of several errors, the first in the order of
/// RequestError is returned. Does not throw and does not keep the message.
ParsedRequest parseRequest(const http::Message&, const NameTables&, const PolicySettings&,
                           TimePoint arrivedAt);

}  // namespace merlinbridge::core
