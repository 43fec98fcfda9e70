#include "gateway_core/request_parser.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace merlinbridge::core {
namespace {

// What a count can hold exactly; whatever claims more is no request.
constexpr double kMaxUnits = 1e6;

template <class T, class... Base>
bool parseNumber(std::string_view text, T& into, Base... base) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), into, base...);
  return error == std::errc{} && end == text.data() + text.size();
}

// One word of a list like "units=2,spread=3", empty where there is none.
std::string_view listParameter(std::string_view list, std::string_view name) {
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    std::string_view parameter = list.substr(0, comma);
    list.remove_prefix(std::min(list.size(), comma + 1));
    while (parameter.starts_with(' ')) parameter.remove_prefix(1);
    if (parameter.starts_with(name) && parameter.substr(name.size()).starts_with('='))
      return parameter.substr(name.size() + 1);
  }
  return {};
}

}  // namespace

ParsedRequest parseRequest(const http::Message& message, const NameTables& words,
                           const PolicySettings& settings, TimePoint came) {
  std::string_view id, kind, plan, account, deadline, quota, idempotencyKey;
  for (std::size_t n = 0; n < message.fields(); ++n) {
    const auto [name, value] = message.field(n);
    if (http::same(name, "Req-Id")) id = value;
    if (http::same(name, "Req-Kind")) kind = value;
    if (http::same(name, "Plan")) plan = value;
    if (http::same(name, "Account")) account = value;
    if (http::same(name, "Req-Deadline-Ms")) deadline = value;
    if (http::same(name, "Quota-Info")) quota = value;
    if (http::same(name, "Idempotency-Key")) idempotencyKey = value;
  }
  ParsedRequest ask{};
  Request& a = ask.request;
  const auto blame = [&ask](std::string_view why) { return ask.fault = why, ask; };
  if (id.empty()) return blame("Req-Id is missing");
  const auto method = words.methods.find(kind);
  if (!method) return blame("Req-Kind is not known");
  a.method = *method;
  if (words.plans.size() > 0) {
    const auto known = words.plans.find(plan);
    if (!known) return blame("Plan is not known");
    a.plan = *known;
  }
  if (!parseNumber(account, a.customer.value, 16)) return blame("Account is not a hex number");
  std::uint32_t ms = 0;
  if (!parseNumber(deadline, ms)) return blame("Req-Deadline-Ms is not a whole number");
  a.deadline = came + std::chrono::milliseconds(ms);
  a.hasIdempotencyKey = !idempotencyKey.empty();
  a.units = 1;
  a.gateways = settings.gateways;
  const auto units = listParameter(quota, "units"), spread = listParameter(quota, "spread");
  if (!units.empty() &&
      !(parseNumber(units, a.units) && std::isfinite(a.units) && a.units >= 0 && a.units <= kMaxUnits))
    return blame("Quota-Info has no number of units");
  if (!spread.empty() && !parseNumber(spread, a.gateways)) return blame("Quota-Info has no spread");
  return ask;
}

}  // namespace merlinbridge::core
