#include "policy/hard_ceiling.hpp"

#include <algorithm>

namespace merlinbridge::policy {

HardCeiling::HardCeiling(const Plan& plan, double gateways, TimePoint startedAt)
    : plan_(plan), gateways_(gateways), level_(-plan.ceilingSlack / gateways), refilledAt_(startedAt) {}

void HardCeiling::refill(TimePoint now) {
  const double levelOfAllGateways = level_ * gateways_ + plan_.ceilingRate * seconds(now - refilledAt_);
  level_ = std::min(plan_.ceilingBurst, levelOfAllGateways) / gateways_;
  refilledAt_ = now;
}

bool HardCeiling::isFull(TimePoint now) const {
  if (plan_.ceilingRate <= 0) return true;
  const double levelOfAllGateways = level_ * gateways_ + plan_.ceilingRate * seconds(now - refilledAt_);
  return levelOfAllGateways >= plan_.ceilingBurst;
}

bool HardCeiling::admits(double units) const {
  const bool hasCeiling = plan_.ceilingRate > 0;
  return !hasCeiling || level_ - units >= -plan_.ceilingSlack / gateways_;
}

void HardCeiling::spend(double units) {
  level_ -= units;
}

double HardCeiling::secondsUntil(double units) const {
  return (units - level_) * gateways_ / plan_.ceilingRate;
}

}  // namespace merlinbridge::policy
