#include "policy/reported_load.hpp"

#include <algorithm>

namespace merlinbridge::policy {
namespace {

/// Answers per second that a host is taken to give at least, as a divisor.
constexpr double kMinAnswersPerSecond = 1e-3;

}  // namespace

std::optional<ReportedLoad> usableLoad(const LoadReport& report) {
  if (!report.inFlight || !report.answersPerSecond) return std::nullopt;
  ReportedLoad load{};
  load.inFlight = std::max(0.0, *report.inFlight);
  load.queued = report.queued.value_or(0);
  load.answersPerSecond = std::max(kMinAnswersPerSecond, *report.answersPerSecond);
  return load;
}

}  // namespace merlinbridge::policy
