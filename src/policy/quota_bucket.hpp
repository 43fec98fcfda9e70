#pragma once

#include <optional>

#include "policy_api/policy_settings.hpp"
#include "util/random_source.hpp"

namespace merlinbridge::policy {

/// Decides whether a request is within the customer's quota, from this gateway's copy of the customer's token
/// bucket and the other gateways' usage as known to the counter service. Checked for each request, before the
/// other limits. Once per round, CounterExchange publishes this gateway's usage and passes the total to this
/// class.
///
/// Units are the cost of requests; for a plan with only a concurrency limit, seconds in flight.
///
/// The *level* is the number of units in the copy. The *slice* is the part of the level that this gateway may
/// admit before the next round. A shared copy admits the first request of a round based on the level alone,
/// and later ones only if the slice also covers their cost.
class QuotaBucket {
 public:
  /// `gateways`: number of gateways that receive the customer's requests, at least 1. `maxUnits`: the largest
  /// cost of a request. `lookBackSeconds`: time constant of the averages of usage, above 0. The plan must
  /// outlive this object.
  QuotaBucket(const Plan& plan, double gateways, double maxUnits, double lookBackSeconds, TimePoint now);

  /// Sets the number of gateways that share the quota, as stated by the request that is checked next. The
  /// level of an equal part changes in proportion.
  void setGateways(double gateways);

  /// Refills the level and the slice up to `now`. Must be called before each decision.
  /// Between rounds the anticipated usage of the other gateways is subtracted, so that a bucket which they
  /// drain as fast as it refills does not look full. The cost: when they stop, this gateway admits too little
  /// for about the look-back time.
  void refill(TimePoint now);

  /// Whether a request that costs `units` is admitted. Always true for a plan without a quota. Takes a random
  /// number only if the level is below the cost of the request.
  bool admits(TimePoint now, double units, util::RandomSource& random) const;

  /// Whether admits() may admit a request that costs `units`, whatever number it draws. Takes none itself.
  bool mayAdmit(TimePoint now, double units) const;

  /// Takes the units of an admitted request from the bucket.
  void spend(double units);

  /// Corrects the cost of an admitted request: it was `extraUnits` more than spent, or less if negative.
  void correct(double extraUnits);

  /// Records usage to publish with the next call, without taking it from this bucket.
  void recordUsage(double units);

  /// Seconds until the level reaches `units`; 0 for a plan without a quota.
  double secondsUntil(double units) const;

  /// The fraction of the quota that this copy represents: 1 while shared, otherwise 1 / gateways.
  double quotaFraction() const;

  /// Units per second used at the other gateways, averaged over the look-back time.
  double othersRate() const { return othersRate_; }

  /// Whether this gateway is limited to its equal part because the counter service is unreachable.
  bool isDivided() const { return copyState_ == CopyState::divided; }

  /// Whether the copy is full at `now`, like that of a customer whose usage is long past. Always true for a
  /// plan without a quota.
  bool isFull(TimePoint now) const;

  /// Limits this gateway to its equal part, because the counter service is unreachable. No effect if already
  /// divided.
  void divide();

  /// Returns the units admitted at this gateway and not yet published, and resets them to 0. While divided,
  /// refill() must be called first.
  double takeUnpublished();

  /// Adds the units of a failed call to the unpublished ones. If the service added them nevertheless, the
  /// count is too high.
  void returnUnpublished(double units);

  /// Ends a round whose call added `units`: the count of that slot is now `total`. refill() must be called
  /// first. The copy is shared afterwards.
  void applyTotal(TimePoint now, SlotId slot, double units, double total);

 private:
  /// What the copy represents. unknown -> shared by applyTotal(); unknown, shared -> divided by divide();
  /// divided -> shared by applyTotal().
  enum class CopyState {
    unknown,  ///< An equal part of the quota: no total of the counter service was received yet.
    shared,   ///< The whole quota: the usage at all gateways is known as of the last total.
    divided   ///< An equal part of the quota: the counter service is unreachable.
  };

  /// The decision on a request that costs `units`; empty if it is to be drawn.
  std::optional<bool> certainDecision(TimePoint now, double units) const;
  void applyFirstTotal(TimePoint now, SlotId slot, double units, double total);
  void applyNextTotal(TimePoint now, SlotId slot, double units, double total);
  /// Switches to another slot, whose count starts at 0.
  void enterSlot(TimePoint now, SlotId slot);
  void endRound(TimePoint now);
  /// The slice as a fraction of the level: the weighted mean of this gateway's share of the customer's usage
  /// and an equal share.
  double sliceFraction(TimePoint now) const;

  const Plan& plan_;
  double gateways_;
  const double maxUnits_;         ///< The largest cost of a request.
  const double lookBackSeconds_;  ///< Time constant of the averages of usage.

  CopyState copyState_ = CopyState::unknown;
  double level_;  ///< Units left in the copy; below 0 after usage that became known late.
  TimePoint refilledAt_;
  double unpublished_ = 0;  ///< Units admitted at this gateway that no call has published.

  TimePoint lastRoundAt_;         ///< End of the last round.
  double slice_ = 0;              ///< Units that this gateway may still admit in this round.
  bool admittedInRound_ = false;  ///< Whether a request was admitted since the last round.

  double ownRate_ = 0;      ///< Units per second used at this gateway, averaged.
  double ownUsage_ = 0;     ///< Units used at this gateway since the last round.
  double othersRate_ = 0;   ///< Units per second used at the other gateways, averaged.
  double othersUsage_ = 0;  ///< Units of the other gateways that became known in this round.
  double anticipated_ = 0;  ///< Units of the other gateways that refill() subtracted in this round.

  SlotId slot_{-1};          ///< The slot of the last total.
  double ownInSlot_ = 0;     ///< Units in that total that this gateway added.
  double othersInSlot_ = 0;  ///< Units in that total that the other gateways added.
};

}  // namespace merlinbridge::policy
