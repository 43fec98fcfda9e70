#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "gateway_core/name_table.hpp"
#include "http/message.hpp"
#include "policy_api/decision_engine.hpp"

namespace merlinbridge::core {

/// Tables of the names that clients and discovery use. Methods and plans come from the configuration; zones
/// and machines are added as discovery announces them.
struct NameTables {
  NameTable<MethodId> methods;
  NameTable<PlanId> plans;
  NameTable<ZoneId> zones;
  NameTable<MachineId> machines;
};

/// Why a client's message is not a valid request.
enum class RequestError : std::uint8_t {
  requestIdMissing,  ///< Req-Id is missing or empty.
  requestIdInvalid,  ///< Req-Id is repeated or longer than 128 bytes.
  methodUnknown,     ///< Req-Kind is missing or not a configured method.
  planUnknown,       ///< Plan is missing or not a configured plan, and the configuration has plans.
  customerInvalid,   ///< Account is missing or not a hexadecimal number of at most 64 bits.
  deadlineInvalid,   ///< Req-Deadline-Ms is missing or not a whole number of at most 32 bits.
  unitsInvalid,  ///< The units of Quota-Info are not a number above 0 and at most PolicySettings::maxUnits;
                 ///< at most 1,000,000 if that is 1.
  gatewayCountInvalid,  ///< The spread of Quota-Info is not a whole number from 1 to
                        ///< PolicySettings::gateways.
  firstGatewayInvalid   ///< The first gateway of Quota-Info is not a whole number below
                        ///< PolicySettings::gateways.
};

/// The error text that is sent to the client, without a line break.
constexpr std::string_view textOf(RequestError error) {
  switch (error) {
    case RequestError::requestIdMissing:
      return "Req-Id is missing";
    case RequestError::requestIdInvalid:
      return "Req-Id is repeated or too long";
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
      return "Quota-Info has no spread";
    case RequestError::firstGatewayInvalid:
      break;
  }
  return "Quota-Info has no first gateway";
}

/// The result of parsing a client's message.
struct ParsedRequest {
  std::optional<RequestError> error;  ///< If set, `request` must not be used.
  Request request;                    ///< Without its id; `deadline` is `arrivedAt` plus Req-Deadline-Ms.
  std::string_view clientRequestId;   ///< Req-Id. Refers to the message.
};

/// Parses the request from the header fields (see request_fields.hpp) of a message whose head is complete. If
/// a field other than Req-Id is repeated, its last value is used; of several errors, the first in the order
/// of RequestError is returned. Does not throw.
ParsedRequest parseRequest(const http::Message&, const NameTables&, const PolicySettings&,
                           TimePoint arrivedAt);

}  // namespace merlinbridge::core
