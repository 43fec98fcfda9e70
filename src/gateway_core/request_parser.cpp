#include "gateway_core/request_parser.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "gateway_core/request_fields.hpp"
#include "gateway_core/request_syntax.hpp"

namespace merlinbridge::core {
namespace {

// The largest accepted cost of one request, in units, if the settings state none.
constexpr double kMaxUnits = 1e6;
constexpr std::string_view kUnitsParameter = "units";
constexpr std::string_view kGatewayCountParameter = "spread";
constexpr std::string_view kFirstGatewayParameter = "first";

// Customers have numbers below this.
constexpr std::uint64_t kMaxCustomers = std::uint64_t{1} << 33;
constexpr std::string_view kHostField = "Host";
constexpr std::string_view kConnectionField = "Connection";

// The value of one of the request's header fields and how often the field occurs.
struct FieldValue {
  std::string_view value;  // of the last one; empty if there is none
  int count = 0;
  bool isUnique() const { return count == 1 && !value.empty(); }
};
struct FieldValues {
  FieldValue host;
  FieldValue requestId;
  FieldValue method;
  FieldValue plan;
  FieldValue customer;
  FieldValue deadline;
  FieldValue quotaInfo;
  FieldValue idempotencyKey;
};
struct FieldBinding {
  std::string_view name;
  FieldValue FieldValues::*value;
};
constexpr std::array kFieldBindings{
    FieldBinding{kHostField, &FieldValues::host},
    FieldBinding{kRequestIdField, &FieldValues::requestId},
    FieldBinding{kMethodField, &FieldValues::method},
    FieldBinding{kPlanField, &FieldValues::plan},
    FieldBinding{kCustomerField, &FieldValues::customer},
    FieldBinding{kDeadlineField, &FieldValues::deadline},
    FieldBinding{kQuotaInfoField, &FieldValues::quotaInfo},
    FieldBinding{kIdempotencyKeyField, &FieldValues::idempotencyKey},
};

FieldValues findFieldValues(const http::Message& message) {
  FieldValues values;
  for (std::size_t index = 0; index < message.fieldCount(); ++index) {
    const auto [name, value] = message.field(index);
    for (const FieldBinding& binding : kFieldBindings) {
      if (!http::equalsIgnoringCase(name, binding.name)) continue;
      (values.*binding.value).value = value;
      ++(values.*binding.value).count;
    }
  }
  return values;
}

bool isAnyRepeated(const FieldValues& values) {
  return std::any_of(kFieldBindings.begin(), kFieldBindings.end(),
                     [&](const FieldBinding& binding) { return (values.*binding.value).count > 1; });
}

// Whether a Connection field makes one of the protocol's fields a hop-by-hop field.
bool isAnyHopByHop(const http::Message& message) {
  for (std::size_t index = 0; index < message.fieldCount(); ++index) {
    const auto [name, value] = message.field(index);
    if (!http::equalsIgnoringCase(name, kConnectionField)) continue;
    for (const FieldBinding& binding : kFieldBindings)
      if (http::listContains(value, binding.name)) return true;
  }
  return false;
}

// Returns false unless the whole text is a number that T can hold.
template <class T, class... Base>
bool parseNumber(std::string_view text, T& number, Base... base) {
  const char* const textEnd = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), textEnd, number, base...);
  return error == std::errc{} && end == textEnd;
}

bool parseUnits(std::string_view text, const PolicySettings& settings, double& units) {
  const bool isNumber = parseNumber(text, units) && std::isfinite(units);
  return isNumber && units > 0 && units <= settings.maxUnits.value_or(kMaxUnits);
}

bool parseGatewayCount(std::string_view text, std::uint32_t gateways, std::uint32_t& count) {
  return parseNumber(text, count) && count >= 1 && count <= gateways;
}

bool isGatewayNumber(std::string_view text, std::uint32_t gateways) {
  std::uint32_t number = 0;
  return parseNumber(text, number) && number < gateways;
}

// Each of the following functions sets its part of the request, or returns the first error that it finds.

std::optional<RequestError> parseId(const FieldValues& values, ParsedRequest& parsed) {
  if (values.requestId.value.empty()) return RequestError::requestIdMissing;
  const auto id = parseHexDigits16(values.requestId.value);
  if (!values.requestId.isUnique() || !id) return RequestError::requestIdInvalid;
  parsed.clientRequestId = {*id};
  return std::nullopt;
}

std::optional<RequestError> checkEnvelope(const http::Message& message, const FieldValues& values) {
  if (!message.isHttp11()) return RequestError::versionInvalid;
  if (!values.host.isUnique()) return RequestError::hostInvalid;
  if (isAnyRepeated(values)) return RequestError::fieldRepeated;
  if (isAnyHopByHop(message)) return RequestError::fieldHopByHop;
  return std::nullopt;
}

std::optional<RequestError> parseIdentity(const FieldValues& values, const NameTables& names,
                                          Request& request) {
  const auto method = names.methods.find(values.method.value);
  if (!method) return RequestError::methodUnknown;
  request.method = *method;
  if (names.plans.size() > 0) {
    const auto plan = names.plans.find(values.plan.value);
    if (!plan) return RequestError::planUnknown;
    request.plan = *plan;
  }
  const auto customer = parseHexDigits16(values.customer.value);
  if (!customer || *customer >= kMaxCustomers) return RequestError::customerInvalid;
  request.customer.value = *customer;
  return std::nullopt;
}

std::optional<RequestError> parseDeadline(const FieldValues& values, TimePoint arrivedAt, Request& request) {
  std::uint32_t milliseconds = 0;
  if (!parseNumber(values.deadline.value, milliseconds)) return RequestError::deadlineInvalid;
  request.deadline = arrivedAt + std::chrono::milliseconds(milliseconds);
  return std::nullopt;
}

std::optional<RequestError> parseQuotaInfo(const FieldValues& values, const PolicySettings& settings,
                                           Request& request) {
  request.units = kDefaultUnits;
  request.gateways = settings.gateways;
  const std::string_view list = values.quotaInfo.value;
  const ListParameter units = findParameter(list, kUnitsParameter);
  const ListParameter gatewayCount = findParameter(list, kGatewayCountParameter);
  const ListParameter firstGateway = findParameter(list, kFirstGatewayParameter);
  if (units.isPresent() && !parseUnits(units.value, settings, request.units))
    return RequestError::unitsInvalid;
  if (gatewayCount.isPresent() && !parseGatewayCount(gatewayCount.value, settings.gateways, request.gateways))
    return RequestError::gatewayCountInvalid;
  if (firstGateway.isPresent() && !isGatewayNumber(firstGateway.value, settings.gateways))
    return RequestError::firstGatewayInvalid;
  if (std::max({units.count, gatewayCount.count, firstGateway.count}) > 1)
    return RequestError::quotaInfoRepeated;
  return std::nullopt;
}

// Compares the start line, the body and the key with what the method requires: GET without a body for an
// idempotent one, POST with a key for a deduplicated one, POST without a key for one that must not run twice.
std::optional<RequestError> checkForm(const http::Message& message, const FieldValues& values,
                                      const NameTables& names, const PolicySettings& settings,
                                      Request& request) {
  const Idempotency idempotency = settings.methods[request.method.value].idempotency;
  const bool isSafe = idempotency == Idempotency::idempotent;
  if (message.method() != (isSafe ? "GET" : "POST")) return RequestError::httpMethodInvalid;
  if (!isTargetOf(message.target(), names.methods.nameOf(request.method))) return RequestError::pathInvalid;
  const bool hasBody = message.contentLength() > 0 || !message.body().empty();
  if (isSafe && hasBody) return RequestError::bodyNotAllowed;
  const FieldValue& key = values.idempotencyKey;
  request.hasIdempotencyKey = key.count > 0;
  if (idempotency == Idempotency::nonIdempotent && key.count > 0) return RequestError::idempotencyKeyInvalid;
  if (idempotency == Idempotency::deduplicated && !isIdempotencyKey(key.value))
    return RequestError::idempotencyKeyInvalid;
  return std::nullopt;
}

}  // namespace

ParsedRequest parseRequest(const http::Message& message, const NameTables& names,
                           const PolicySettings& settings, TimePoint arrivedAt) {
  const FieldValues values = findFieldValues(message);
  ParsedRequest parsed{};
  Request& request = parsed.request;
  parsed.error = parseId(values, parsed);
  if (!parsed.error) parsed.error = checkEnvelope(message, values);
  if (!parsed.error) parsed.error = parseIdentity(values, names, request);
  if (!parsed.error) parsed.error = parseDeadline(values, arrivedAt, request);
  if (!parsed.error) parsed.error = parseQuotaInfo(values, settings, request);
  if (!parsed.error) parsed.error = checkForm(message, values, names, settings, request);
  return parsed;
}

}  // namespace merlinbridge::core
