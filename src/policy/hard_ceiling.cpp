#include "policy/hard_ceiling.hpp"

#include <algorithm>

namespace merlinbridge::policy {

HardCeiling::HardCeiling(const Plan& plan, double gateways, TimePoint startedAt)
    : plan_(plan), gateways_(gateways), level_(-plan.ceilingSlack), refilledAt_(startedAt) {}

void HardCeiling::setGateways(double gateways) {
  gateways_ = gateways;
}

void HardCeiling::refill(TimePoint now) {
  level_ = levelAt(now);
  refilledAt_ = now;
}

double HardCeiling::levelAt(TimePoint now) const {
  return std::min(plan_.ceilingBurst, level_ + plan_.ceilingRate * seconds(now - refilledAt_));
}

bool HardCeiling::isFull(TimePoint now) const {
  return plan_.ceilingRate <= 0 || levelAt(now) >= plan_.ceilingBurst;
}

bool HardCeiling::admits(double units) const {
  const bool hasCeiling = plan_.ceilingRate > 0;
  return !hasCeiling || level_ - units * gateways_ >= -plan_.ceilingSlack;
}

void HardCeiling::spend(double units) {
  level_ -= units * gateways_;
}

double HardCeiling::secondsUntil(double units) const {
  return (units * gateways_ - level_) / plan_.ceilingRate;
}

}  // namespace merlinbridge::policy
