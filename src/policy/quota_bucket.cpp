#include "policy/quota_bucket.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "policy/count_slot.hpp"

namespace merlinbridge::policy {
namespace {

/// Weight, 0 to 1, of this gateway's share of the customer's usage in its slice. The remaining weight goes to
/// an equal share.
constexpr double kOwnShareWeight = 0.3;

/// The fraction of the other gateways' average usage that is anticipated, that is, subtracted from the level
/// before the next total.
constexpr double kAnticipatedFraction = 0.5;

/// If the total of a count is lower than this gateway's own units in it, by more than this tolerance, the
/// counter service is assumed to have lost the count. Covers rounding errors of sums.
constexpr double kTotalToleranceUnits = 1e-3;

/// Lower bound of the length of a round in seconds, because it is used as a divisor.
constexpr double kMinRoundSeconds = 1e-3;

}  // namespace

QuotaBucket::QuotaBucket(const Plan& plan, double gateways, double maxUnits, double lookBackSeconds,
                         TimePoint now)
    : plan_(plan),
      gateways_(gateways),
      maxUnits_(maxUnits),
      lookBackSeconds_(lookBackSeconds),
      level_(plan.burst / gateways),
      refilledAt_(now),
      lastRoundAt_(now) {}

void QuotaBucket::setGateways(double gateways) {
  if (copyState_ != CopyState::shared) level_ *= gateways_ / gateways;
  gateways_ = gateways;
}

double QuotaBucket::quotaFraction() const {
  return copyState_ == CopyState::shared ? 1 : 1 / gateways_;
}

bool QuotaBucket::isFull(TimePoint now) const {
  if (plan_.rate <= 0) return true;
  const double level = level_ + plan_.rate * quotaFraction() * seconds(now - refilledAt_);
  return level >= plan_.burst * quotaFraction();
}

void QuotaBucket::refill(TimePoint now) {
  const double elapsed = seconds(now - refilledAt_);
  const double ownFraction = sliceFraction(now);
  const double sliceRate = plan_.rate * ownFraction;
  const double anticipatedRate = std::min(plan_.rate * (1 - ownFraction), kAnticipatedFraction * othersRate_);
  const double anticipatedUsage = quotaFraction() < 1 ? 0 : anticipatedRate * elapsed;
  // Even a part of the bucket has capacity for the largest request; it does not refill faster for that.
  const double capacity = std::max(plan_.burst * quotaFraction(), std::min(plan_.burst, maxUnits_));
  level_ = std::min(capacity, level_ + plan_.rate * quotaFraction() * elapsed - anticipatedUsage);
  slice_ = std::min(plan_.burst * ownFraction, slice_ + sliceRate * elapsed);
  anticipated_ += anticipatedUsage;
  refilledAt_ = now;
}

double QuotaBucket::sliceFraction(TimePoint now) const {
  const double ownRate =
      (ownRate_ * lookBackSeconds_ + ownUsage_) / (lookBackSeconds_ + seconds(now - lastRoundAt_));
  const double totalRate = ownRate + othersRate_;
  const double equalFraction = 1 / gateways_;
  return totalRate > 0 ? kOwnShareWeight * ownRate / totalRate + (1 - kOwnShareWeight) * equalFraction
                       : equalFraction;
}

bool QuotaBucket::admits(TimePoint now, double units, util::RandomSource& random) const {
  const std::optional<bool> decision = certainDecision(now, units);
  return decision ? *decision : random.bernoulli(level_ / units);
}

bool QuotaBucket::mayAdmit(TimePoint now, double units) const {
  return certainDecision(now, units).value_or(level_ > 0);
}

std::optional<bool> QuotaBucket::certainDecision(TimePoint now, double units) const {
  if (plan_.rate <= 0) return true;
  // The first request of a new customer, and the first one after the last total, are admitted even if the
  // counter service is unreachable, because the burst divided by many gateways may be less than the cost of
  // one request.
  if (copyState_ != CopyState::shared && !admittedInRound_) return units <= plan_.burst;
  if (level_ >= units) return !admittedInRound_ || quotaFraction() < 1 || units <= slice_;
  // If the level is uncertain, a request that costs more than the level is admitted with a probability of
  // level divided by cost: otherwise a customer with few requests at each of many gateways, whose parts are
  // smaller than a request, would be admitted too rarely. The level is uncertain while the copy is not
  // shared, and once the other gateways may have used as much as this request costs since the last total.
  const double othersPossibleUsage = seconds(now - lastRoundAt_) * std::min(othersRate_, plan_.rate);
  const bool levelIsUncertain = quotaFraction() < 1 || othersPossibleUsage >= units;
  if (levelIsUncertain) return std::nullopt;
  return false;
}

void QuotaBucket::spend(double units) {
  if (plan_.rate <= 0) return;
  level_ -= units;
  slice_ -= units;
  recordUsage(units);
  admittedInRound_ = true;
}

void QuotaBucket::correct(double extraUnits) {
  if (plan_.rate <= 0) return;
  level_ -= extraUnits;
  unpublished_ += extraUnits;
}

void QuotaBucket::recordUsage(double units) {
  unpublished_ += units;
  ownUsage_ += units;
}

double QuotaBucket::secondsUntil(double units) const {
  if (plan_.rate <= 0) return 0;
  return std::max(0.0, units - level_) / plan_.rate;
}

void QuotaBucket::divide() {
  if (copyState_ == CopyState::divided) return;
  if (copyState_ == CopyState::shared) level_ /= gateways_;
  copyState_ = CopyState::divided;
}

double QuotaBucket::takeUnpublished() {
  // Usage that the divided bucket has already refilled is not published.
  if (copyState_ == CopyState::divided) {
    const double notRefilled = std::max(0.0, plan_.burst / gateways_ - level_);
    unpublished_ = std::min(unpublished_, notRefilled);
  }
  return std::exchange(unpublished_, 0);
}

void QuotaBucket::returnUnpublished(double units) {
  unpublished_ += units;
}

void QuotaBucket::applyTotal(TimePoint now, SlotId slot, double units, double total) {
  if (copyState_ == CopyState::shared)
    applyNextTotal(now, slot, units, total);
  else
    applyFirstTotal(now, slot, units, total);
  endRound(now);
}

void QuotaBucket::applyNextTotal(TimePoint now, SlotId slot, double units, double total) {
  if (slot_ != slot) enterSlot(now, slot);
  ownInSlot_ += units;
  const bool countWasLost = total < ownInSlot_ - kTotalToleranceUnits;
  if (countWasLost) {
    ownInSlot_ = units;
    othersInSlot_ = 0;
  }
  const double othersTotal = std::max(0.0, total - ownInSlot_);
  const double othersNewUsage = std::max(0.0, othersTotal - othersInSlot_);
  othersInSlot_ = othersTotal;
  level_ = std::clamp(level_ + anticipated_ - othersNewUsage, -maxUnits_, plan_.burst);
  anticipated_ = 0;
  othersUsage_ += othersNewUsage;
}

void QuotaBucket::enterSlot(TimePoint now, SlotId slot) {
  // The units that the other gateways added to the previous slot after its last total are never read. They
  // are assumed to equal the anticipated usage, which therefore stays subtracted from the level.
  const double roundSeconds = std::max(kMinRoundSeconds, seconds(now - lastRoundAt_));
  const double unreadSeconds = std::max(0.0, roundSeconds - secondsIntoSlot(now, slot));
  slot_ = slot;
  ownInSlot_ = 0;
  othersInSlot_ = 0;
  anticipated_ *= 1 - unreadSeconds / roundSeconds;
  othersUsage_ += othersRate_ * unreadSeconds;
}

void QuotaBucket::applyFirstTotal(TimePoint now, SlotId slot, double units, double total) {
  const double slotSeconds = secondsIntoSlot(now, slot);
  const double levelOfAllGateways =
      std::clamp(plan_.burst - total + plan_.rate * slotSeconds, 0.0, plan_.burst);
  const double remainingUnits = levelOfAllGateways - unpublished_;
  level_ = copyState_ == CopyState::divided ? std::min(remainingUnits, level_ * gateways_) : remainingUnits;
  copyState_ = CopyState::shared;
  slot_ = slot;
  ownInSlot_ = units;
  othersInSlot_ = std::max(0.0, total - units);
  anticipated_ = 0;
  othersUsage_ = 0;
  // Assumes that the bucket was full at the start of the slot.
  const double usageSeconds = slotSeconds + (plan_.rate > 0 ? plan_.burst / plan_.rate : 0);
  ownRate_ = ownUsage_ / usageSeconds;
  othersRate_ = othersInSlot_ / usageSeconds;
  ownUsage_ = 0;
  lastRoundAt_ = now;
}

void QuotaBucket::endRound(TimePoint now) {
  if (const double elapsed = seconds(now - lastRoundAt_); elapsed > 0) {
    const double gain = 1 - std::exp(-elapsed / lookBackSeconds_);
    ownRate_ += gain * (ownUsage_ / elapsed - ownRate_);
    othersRate_ += gain * (othersUsage_ / elapsed - othersRate_);
  }
  ownUsage_ = 0;
  othersUsage_ = 0;
  lastRoundAt_ = now;
  slice_ = sliceFraction(now) * std::max(0.0, level_);
  admittedInRound_ = false;
}

}  // namespace merlinbridge::policy
