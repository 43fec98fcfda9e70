#pragma once

#include "policy_api/policy_settings.hpp"
#include "util/random_source.hpp"

namespace merlinbridge::policy {

/// Decides whether a customer may have one more attempt in flight, from its plan, the attempts in flight here
/// and what the other gateways have in flight on average. Asked for each request, after the quota.
///
/// A plan that has this limit and no quota publishes the seconds for which attempts were in flight as its
/// units, so the other gateways' units per second are the attempts that they have in flight on average.
class ConcurrencyLimit {
 public:
  /// `gateways`: how many share the limit, at least 1. The plan must outlive this object.
  ConcurrencyLimit(const Plan& plan, double gateways);

  /// Whether seconds in flight are published as the plan's usage.
  static bool publishesUsage(const Plan& plan);

  /// Whether an attempt may start. `limitFraction`: 1 where the usage of all gateways is known, else this
  /// gateway's part of the limit. `othersRate`: attempts that the other gateways have in flight on average. A
  /// fraction of a free slot admits with that probability. Draws at random once for a plan with a limit, and
  /// not at all for one without.
  bool admits(double limitFraction, double othersRate, util::RandomSource& random) const;

  void attemptStarted();
  void attemptEnded();

  /// Whether the customer has no attempt in flight.
  bool idle() const { return inFlight_ == 0; }

 private:
  /// Attempts that may start now; below 0 where too many are in flight.
  double remainingAttempts(double limitFraction, double othersRate) const;

  const Plan& plan_;
  const double gateways_;
  int inFlight_ = 0;  ///< Attempts at this gateway.
};

}  // namespace merlinbridge::policy
