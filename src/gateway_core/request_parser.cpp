#include "gateway_core/request_parser.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "gateway_core/request_fields.hpp"

namespace merlinbridge::core {
namespace {

// The largest accepted cost of one request, in units, if the settings state none.
constexpr double kMaxUnits = 1e6;
constexpr double kDefaultUnits = 1;  // if Quota-Info states no units
constexpr int kHexBase = 16;
constexpr std::size_t kMaxRequestIdBytes =
    128;  // Ids are kept after their request, so their size is bounded.
constexpr std::string_view kUnitsParameter = "units";
constexpr std::string_view kGatewayCountParameter = "spread";
constexpr std::string_view kFirstGatewayParameter = "first";

// The values of the request's header fields; empty where a field is missing.
struct FieldValues {
  std::string_view requestId;
  int requestIdCount = 0;
  std::string_view method;
  std::string_view plan;
  std::string_view customer;
  std::string_view deadline;
  std::string_view quotaInfo;
  std::string_view idempotencyKey;
};
struct FieldBinding {
  std::string_view name;
  std::string_view FieldValues::*value;
};
constexpr std::array kFieldBindings{
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
    for (const FieldBinding& binding : kFieldBindings)
      if (http::equalsIgnoringCase(name, binding.name)) values.*binding.value = value;
    if (http::equalsIgnoringCase(name, kRequestIdField)) ++values.requestIdCount;
  }
  return values;
}

// Returns false unless the whole text is a number that T can hold.
template <class T, class... Base>
bool parseNumber(std::string_view text, T& number, Base... base) {
  const char* const textEnd = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), textEnd, number, base...);
  return error == std::errc{} && end == textEnd;
}

// Returns the value of the named parameter of a list like "units=2,spread=3"; nothing if the list does not
// have the parameter.
std::optional<std::string_view> findParameter(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    std::string_view parameter = list.substr(0, comma);
    list.remove_prefix(std::min(list.size(), comma + 1));
    while (parameter.starts_with(' ')) parameter.remove_prefix(1);
    if (parameter.starts_with(name) && parameter.substr(name.size()).starts_with('='))
      return parameter.substr(name.size() + 1);
  }
  return std::nullopt;
}

// Settings without a largest cost state 1.
double maxUnitsOf(const PolicySettings& settings) {
  return settings.maxUnits > 1 ? settings.maxUnits : kMaxUnits;
}

bool parseUnits(std::string_view text, double maxUnits, double& units) {
  return parseNumber(text, units) && std::isfinite(units) && units > 0 && units <= maxUnits;
}

bool parseGatewayCount(std::string_view text, std::uint32_t gateways, std::uint32_t& count) {
  return parseNumber(text, count) && count >= 1 && count <= gateways;
}

bool isGatewayNumber(std::string_view text, std::uint32_t gateways) {
  std::uint32_t number = 0;
  return parseNumber(text, number) && number < gateways;
}

// Each of the following functions sets its part of the request, or returns the first error that it finds.

std::optional<RequestError> parseIdentity(const FieldValues& values, const NameTables& names,
                                          Request& request) {
  if (values.requestId.empty()) return RequestError::requestIdMissing;
  // A host may read another one of several ids than this gateway.
  if (values.requestIdCount > 1 || values.requestId.size() > kMaxRequestIdBytes)
    return RequestError::requestIdInvalid;
  const auto method = names.methods.find(values.method);
  if (!method) return RequestError::methodUnknown;
  request.method = *method;
  if (names.plans.size() > 0) {
    const auto plan = names.plans.find(values.plan);
    if (!plan) return RequestError::planUnknown;
    request.plan = *plan;
  }
  if (!parseNumber(values.customer, request.customer.value, kHexBase)) return RequestError::customerInvalid;
  request.hasIdempotencyKey = !values.idempotencyKey.empty();
  return std::nullopt;
}

std::optional<RequestError> parseDeadline(const FieldValues& values, TimePoint arrivedAt, Request& request) {
  std::uint32_t milliseconds = 0;
  if (!parseNumber(values.deadline, milliseconds)) return RequestError::deadlineInvalid;
  request.deadline = arrivedAt + std::chrono::milliseconds(milliseconds);
  return std::nullopt;
}

std::optional<RequestError> parseQuotaInfo(const FieldValues& values, const PolicySettings& settings,
                                           Request& request) {
  request.units = kDefaultUnits;
  request.gateways = settings.gateways;
  const auto units = findParameter(values.quotaInfo, kUnitsParameter);
  const auto gatewayCount = findParameter(values.quotaInfo, kGatewayCountParameter);
  const auto firstGateway = findParameter(values.quotaInfo, kFirstGatewayParameter);
  if (units && !parseUnits(*units, maxUnitsOf(settings), request.units)) return RequestError::unitsInvalid;
  if (gatewayCount && !parseGatewayCount(*gatewayCount, settings.gateways, request.gateways))
    return RequestError::gatewayCountInvalid;
  if (firstGateway && !isGatewayNumber(*firstGateway, settings.gateways))
    return RequestError::firstGatewayInvalid;
  return std::nullopt;
}

}  // namespace

ParsedRequest parseRequest(const http::Message& message, const NameTables& names,
                           const PolicySettings& settings, TimePoint arrivedAt) {
  const FieldValues values = findFieldValues(message);
  ParsedRequest parsed{};
  Request& request = parsed.request;
  parsed.clientRequestId = values.requestId;
  parsed.error = parseIdentity(values, names, request);
  if (!parsed.error) parsed.error = parseDeadline(values, arrivedAt, request);
  if (!parsed.error) parsed.error = parseQuotaInfo(values, settings, request);
  return parsed;
}

}  // namespace merlinbridge::core
