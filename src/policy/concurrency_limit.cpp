#include "policy/concurrency_limit.hpp"

#include <algorithm>

namespace merlinbridge::policy {
namespace {

/// The lowest limit of one gateway, in attempts in flight, while it does not know the other gateways' usage.
constexpr double kMinDividedLimit = 1.0;

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(const Plan& plan, double gateways) : plan_(plan), gateways_(gateways) {}

bool ConcurrencyLimit::publishesUsage(const Plan& plan) {
  const bool hasQuota = plan.rate > 0;
  const bool hasLimit = plan.maxInFlight > 0;
  return hasLimit && !hasQuota;
}

double ConcurrencyLimit::remainingAttempts(double limitFraction, double othersRate) const {
  if (limitFraction < 1) return std::max(kMinDividedLimit, plan_.maxInFlight / gateways_) - inFlight_;
  const double othersInFlight = publishesUsage(plan_) ? othersRate : 0;
  return plan_.maxInFlight - inFlight_ - othersInFlight;
}

bool ConcurrencyLimit::admits(double limitFraction, double othersRate, util::RandomSource& random) const {
  if (plan_.maxInFlight <= 0) return true;
  return random.bernoulli(remainingAttempts(limitFraction, othersRate));
}

void ConcurrencyLimit::attemptStarted() {
  ++inFlight_;
}

void ConcurrencyLimit::attemptEnded() {
  --inFlight_;
}

}  // namespace merlinbridge::policy
