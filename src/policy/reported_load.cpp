#include "policy/reported_load.hpp"

#include <algorithm>

namespace merlinbridge::policy {
namespace {

/// Lower bound of a host's response rate, because it is used as a divisor.
constexpr double kMinResponsesPerSecond = 1e-3;

}  // namespace

std::optional<UsableLoad> usableLoad(const LoadReport& report) {
  if (!report.inFlight || !report.responsesPerSecond) return std::nullopt;
  UsableLoad load{};
  load.inFlight = std::max(0.0, *report.inFlight);
  load.queued = report.queued.value_or(0);
  load.responsesPerSecond = std::max(kMinResponsesPerSecond, *report.responsesPerSecond);
  return load;
}

}  // namespace merlinbridge::policy
