#pragma once

#include "policy_api/policy_settings.hpp"
#include "util/random_source.hpp"

namespace merlinbridge::policy {

/// Decides whether a request is within the customer's quota, from this gateway's copy of the customer's token
/// bucket and from what the counter service states of the use at the other gateways. Asked for each request,
/// before the other checks. CounterExchange publishes its use and hands it the totals, a round at a time.
///
/// Units are what requests cost; for a plan with only a concurrency limit, seconds in flight.
///
/// The *level* is what the copy holds. The *slice* is the part of it that this gateway may admit before the
/// next round. A shared copy admits the first request of a round by the level alone, and the later ones by
/// both.
class QuotaBucket {
 public:
  /// `gateways`: how many the customer's requests come through, at least 1. `maxUnits`: the largest cost of a
  /// request. `lookBackSeconds`: seconds over which use is remembered, above 0. The plan must outlive this
  /// object.
  QuotaBucket(const Plan& plan, double gateways, double maxUnits, double lookBackSeconds, TimePoint now);

  /// Brings level and slice up to that time. Call before any decision.
  /// Between rounds the copy refills by what the other gateways are likely to leave: a bucket that they drain
  /// as fast as it fills must not look full. The cost is a look-back of caution when they stop.
  void refill(TimePoint now);

  /// Whether a request of so many units passes. Always true for a plan without a quota. Draws at random only
  /// where less is left than the request costs.
  bool admits(TimePoint now, double units, util::RandomSource& random) const;

  /// A request of so many units was admitted.
  void spend(double units);

  /// An admitted request turned out to cost so many units more (or, below 0, less) than was spent.
  void correct(double extraUnits);

  /// Publishes use with the next call, without spending it from this bucket.
  void recordUsage(double units);

  /// Seconds until the copy holds so many units; 0 for a plan without a quota.
  double secondsUntil(double units) const;

  /// The part of the quota that this copy stands for: 1 while shared, else 1 / gateways.
  double quotaFraction() const;

  /// Units per second used at the other gateways, over the look-back.
  double othersRate() const { return othersRate_; }

  /// Whether this gateway keeps to its even part because the counter service is unreachable.
  bool isDivided() const { return copyState_ == CopyState::divided; }

  /// The counter service is unreachable: from now on this gateway keeps to its even part. No effect where
  /// divided.
  void divide();

  /// Hands over the units admitted here and not yet published. Refill first while divided.
  double takeUnpublished();

  /// A call that was to publish these units failed. They may have been added all the same: the count is then
  /// high.
  void returnUnpublished(double units);

  /// A round has ended: the count of that slot has `total`, with the `units` that this call added. Refill
  /// first. From here on the copy is shared.
  void applyTotal(TimePoint now, SlotId slot, double units, double total);

 private:
  /// What the copy stands for. unknown -> shared by applyTotal; unknown, shared -> divided by divide;
  /// divided -> shared by applyTotal.
  enum class CopyState {
    unknown,  ///< No total of the counter service has come yet: an even part of the quota.
    shared,   ///< The whole quota; the use at all gateways is known as of the last total.
    divided   ///< An even part of the quota, since the counter service is unreachable.
  };

  void applyFirstTotal(TimePoint now, SlotId slot, double units, double total);
  void applyNextTotal(TimePoint now, SlotId slot, double units, double total);
  /// Starts to follow another slot, whose count begins at 0.
  void enterSlot(TimePoint now, SlotId slot);
  void endRound(TimePoint now);
  /// The slice as a fraction of the level: a blend of this gateway's share of the customer's use and an even
  /// share.
  double sliceFraction(TimePoint now) const;

  const Plan& plan_;
  const double gateways_;
  const double maxUnits_;         ///< The largest cost of a request.
  const double lookBackSeconds_;  ///< Seconds over which use is remembered.

  CopyState copyState_ = CopyState::unknown;
  double level_;  ///< Units left in the copy; below 0 after use that came to light late.
  TimePoint refilledAt_;
  double unpublished_ = 0;  ///< Units admitted here that no call has published.

  TimePoint lastRoundAt_;         ///< End of the last round.
  double slice_ = 0;              ///< Units that this gateway may still admit in this round.
  bool admittedInRound_ = false;  ///< Whether a request was admitted since the last round.

  double ownRate_ = 0;      ///< Units per second used here, over the look-back.
  double ownUsage_ = 0;     ///< Units used here since the last round.
  double othersRate_ = 0;   ///< Units per second used at the other gateways, over the look-back.
  double othersUsage_ = 0;  ///< Units that came to light in this round as used there.
  double anticipated_ = 0;  ///< Units that refill() took off the level for use there in this round.

  SlotId slot_{-1};          ///< The slot of the last total.
  double ownInSlot_ = 0;     ///< Units of that total that this gateway added.
  double othersInSlot_ = 0;  ///< Units of that total that the other gateways added.
};

}  // namespace merlinbridge::policy
