#include "net/counter/counter_outcome.hpp"

#include <charconv>
#include <cmath>
#include <optional>
#include <system_error>

namespace merlinbridge::net {
namespace {

// Statuses of the counter protocol. The three errors guarantee that nothing was added.
constexpr int kStatusAdded = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusUnknownCounter = 404;
constexpr int kStatusOverloaded = 503;

bool guaranteesNotAdded(int status) {
  return status == kStatusOverloaded || status == kStatusBadRequest || status == kStatusUnknownCounter;
}

// Returns nullopt for a body without a number, and for "inf" and "nan", which std::from_chars accepts.
std::optional<double> parseTotal(std::string_view body) {
  double total = 0;
  const bool isNumber = std::from_chars(body.data(), body.data() + body.size(), total).ec == std::errc{};
  if (!isNumber || !std::isfinite(total)) return std::nullopt;
  return total;
}

}  // namespace

CounterResponse parseCounterResponse(int status, std::string_view body) {
  if (guaranteesNotAdded(status)) return {CounterCallOutcome::notAdded, 0};
  if (status != kStatusAdded) return {CounterCallOutcome::unknown, 0};
  const std::optional<double> total = parseTotal(body);
  return total ? CounterResponse{CounterCallOutcome::ok, *total} : CounterResponse{};
}

CounterCallOutcome outcomeWithoutResponse(CallDelivery delivery) {
  return delivery == CallDelivery::neverWritten ? CounterCallOutcome::notAdded : CounterCallOutcome::unknown;
}

}  // namespace merlinbridge::net
