#pragma once

#include "policy_api/policy_settings.hpp"

namespace merlinbridge::policy {

/// Decides whether a request stays below the customer's hard ceiling, using only this gateway's fixed part of
/// the ceiling: a token bucket that does not depend on the counter service, so that the ceiling holds in any
/// failure. Checked for each request, after the quota and the concurrency limit.
///
/// The bucket is that of all gateways, and a request is charged its cost once for each gateway that shares
/// the ceiling, as if the others had admitted the same. So a request that states too few gateways, which any
/// client can send in the customer's name, adds nothing to what the customer's own requests may spend.
class HardCeiling {
 public:
  /// `gateways`: number of gateways that share the ceiling, at least 1. `startedAt`: start of this process.
  /// The bucket starts at its lowest level, because the usage admitted by this gateway before a restart is
  /// unknown. The plan must outlive this object.
  HardCeiling(const Plan& plan, double gateways, TimePoint startedAt);

  /// Sets the number of gateways that share the ceiling, as stated by the request that is checked next.
  void setGateways(double gateways);

  /// Refills the bucket up to `now`. Must be called before each decision.
  void refill(TimePoint now);

  /// Whether a request that costs `units` stays below the ceiling. Always true for a plan without a ceiling.
  bool admits(double units) const;

  /// Takes the units of an admitted request from the bucket.
  void spend(double units);

  /// Whether the bucket is full at `now`, like that of a customer whose usage is long past. Always true for a
  /// plan without a ceiling.
  bool isFull(TimePoint now) const;

  /// Seconds until the level reaches `units`. Only for a plan with a ceiling.
  double secondsUntil(double units) const;

 private:
  double levelAt(TimePoint now) const;

  const Plan& plan_;
  double gateways_;
  double level_;  ///< Units left in the bucket of all gateways. At lowest minus the slack.
  TimePoint refilledAt_;
};

}  // namespace merlinbridge::policy
