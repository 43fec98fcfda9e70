#pragma once

#include "policy_api/policy_settings.hpp"

namespace merlinbridge::policy {

/// Decides whether a request stays under the customer's hard ceiling, from this gateway's fixed part of the
/// ceiling alone: a token bucket that needs no counter service, so that the ceiling holds whatever fails.
/// Asked for each request, after the quota and the concurrency limit.
class HardCeiling {
 public:
  /// `gateways`: how many share the ceiling, at least 1. `startedAt`: start of this process. The bucket
  /// starts at its lowest level, since what an earlier incarnation of this gateway admitted is not known. The
  /// plan must outlive this object.
  HardCeiling(const Plan& plan, double gateways, TimePoint startedAt);

  /// Brings the level up to that time. Call before any decision.
  void refill(TimePoint now);

  /// Whether a request of so many units stays under the ceiling. Always true for a plan without a ceiling.
  bool admits(double units) const;

  /// A request of so many units was admitted.
  void spend(double units);

  /// Seconds until so many units may pass. Only for a plan with a ceiling.
  double secondsUntil(double units) const;

 private:
  const Plan& plan_;
  const double gateways_;
  double level_;  ///< Units left; may fall below 0 by this gateway's part of the slack.
  TimePoint refilledAt_;
};

}  // namespace merlinbridge::policy
