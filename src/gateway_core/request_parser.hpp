#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "gateway_core/client_request_ids.hpp"
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
  requestIdInvalid,  ///< Req-Id is repeated or not of 16 hexadecimal digits.
  versionInvalid,    ///< The message is not of HTTP/1.1.
  hostInvalid,       ///< Host is missing, empty or repeated.
  fieldRepeated,     ///< Another field of the protocol is repeated, of which hosts may read a different one.
  fieldHopByHop,     ///< Connection names a field of the protocol, which would then not be forwarded.
  methodUnknown,     ///< Req-Kind is missing or not a configured method.
  planUnknown,       ///< Plan is missing or not a configured plan, and the configuration has plans.
  customerInvalid,   ///< Account is missing or not of 16 hexadecimal digits with a value below 2^33.
  deadlineInvalid,   ///< Req-Deadline-Ms is missing or not a whole number of at most 32 bits.
  unitsInvalid,      ///< The units of Quota-Info are not a number above 0 and at most
                     ///< PolicySettings::maxUnits; at most 1,000,000 if the settings state none.
  gatewayCountInvalid,   ///< The spread of Quota-Info is not a whole number from 1 to
                         ///< PolicySettings::gateways.
  firstGatewayInvalid,   ///< The first gateway of Quota-Info is not a whole number below
                         ///< PolicySettings::gateways.
  quotaInfoRepeated,     ///< Quota-Info states one of its parameters twice.
  httpMethodInvalid,     ///< Not GET for an idempotent method, or not POST for another one.
  pathInvalid,           ///< The path's first part is not the method's name, or the path leads elsewhere.
  bodyNotAllowed,        ///< A GET has a body.
  idempotencyKeyInvalid  ///< The key of a deduplicated method is missing, repeated or of another form, or a
                         ///< non-idempotent method has one.
};

/// The error text that is sent to the client, without a line break.
constexpr std::string_view textOf(RequestError error) {
  switch (error) {
    case RequestError::requestIdMissing:
      return "Req-Id is missing";
    case RequestError::requestIdInvalid:
      return "Req-Id is repeated or not of 16 hex digits";
    case RequestError::versionInvalid:
      return "not HTTP/1.1";
    case RequestError::hostInvalid:
      return "Host is missing or repeated";
    case RequestError::fieldRepeated:
      return "a field is repeated";
    case RequestError::fieldHopByHop:
      return "Connection names a field of the request";
    case RequestError::methodUnknown:
      return "Req-Kind is not known";
    case RequestError::planUnknown:
      return "Plan is not known";
    case RequestError::customerInvalid:
      return "Account is not of 16 hex digits below 2^33";
    case RequestError::deadlineInvalid:
      return "Req-Deadline-Ms is not a whole number";
    case RequestError::unitsInvalid:
      return "Quota-Info has no number of units";
    case RequestError::gatewayCountInvalid:
      return "Quota-Info has no spread";
    case RequestError::firstGatewayInvalid:
      return "Quota-Info has no first gateway";
    case RequestError::quotaInfoRepeated:
      return "Quota-Info states a value twice";
    case RequestError::httpMethodInvalid:
      return "not the HTTP method of the Req-Kind";
    case RequestError::pathInvalid:
      return "not a path of the Req-Kind";
    case RequestError::bodyNotAllowed:
      return "a GET has no body";
    case RequestError::idempotencyKeyInvalid:
      break;
  }
  return "Idempotency-Key is missing, repeated or not allowed";
}

/// The result of parsing a client's message.
struct ParsedRequest {
  std::optional<RequestError> error;  ///< If set, `request` must not be used.
  Request request;                    ///< Without its id; `deadline` is `arrivedAt` plus Req-Deadline-Ms.
  ClientRequestId clientRequestId;    ///< Req-Id.
};

/// Parses the request from a complete message and decides whether it is sound: whether it has the form that
/// the client protocol gives to a request of its method, part by part, and hosts cannot read it differently.
/// Only a sound request may be forwarded. Of several errors, the first in the order of RequestError is
/// returned. Does not throw.
ParsedRequest parseRequest(const http::Message&, const NameTables&, const PolicySettings&,
                           TimePoint arrivedAt);

}  // namespace merlinbridge::core
