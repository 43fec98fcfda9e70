#pragma once

#include "policy_api/policy_settings.hpp"
#include "util/random_source.hpp"

namespace merlinbridge::policy {

/// Decides whether a customer may have one more attempt in flight, from its plan, the attempts in flight at
/// this gateway and the mean number of attempts in flight at the other gateways. Checked for each request,
/// after the quota.
///
/// For a plan with this limit and no quota, the units published to the counter service are the seconds for
/// which attempts were in flight. The other gateways' units per second are therefore their mean number of
/// attempts in flight.
class ConcurrencyLimit {
 public:
  /// `gateways`: number of gateways that share the limit, at least 1. The plan must outlive this object.
  ConcurrencyLimit(const Plan& plan, double gateways);

  /// Sets the number of gateways that share the limit, as stated by the request that is checked next.
  void setGateways(double gateways) { gateways_ = gateways; }

  /// Whether the plan's published units are seconds in flight.
  static bool publishesUsage(const Plan& plan);

  /// Whether an attempt may start. `limitFraction`: 1 if the usage of all gateways is known, otherwise this
  /// gateway's fraction of the limit. `othersRate`: mean number of attempts in flight at the other gateways.
  /// If less than one attempt remains, that remaining fraction is the probability of admission. Takes one
  /// random number for a plan with a limit, none for a plan without.
  bool admits(double limitFraction, double othersRate, util::RandomSource& random) const;

  void attemptStarted();
  void attemptEnded();

  /// Whether the customer has no attempt in flight.
  bool idle() const { return inFlight_ == 0; }

 private:
  /// Attempts that may start now, possibly a fraction; below 0 if too many are in flight.
  double remainingAttempts(double limitFraction, double othersRate) const;

  const Plan& plan_;
  double gateways_;
  int inFlight_ = 0;  ///< Attempts in flight at this gateway.
};

}  // namespace merlinbridge::policy
