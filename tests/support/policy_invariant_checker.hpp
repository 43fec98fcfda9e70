#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "policy_api/policy_settings.hpp"
#include "simulated_fleet_records.hpp"

namespace merlinbridge::testing {

/// A simple, slow model of the decision engine's five rules, which checks every attempt and every final
/// answer: exactly one final answer, in time; repeats only as the method allows; attempts only to serving
/// hosts; no customer above its hard ceiling; no host in slow start above its overload limit.
///
/// It shares no code with the decision engine. `violations` holds a text for each kind of violation; tests
/// require it to be empty.
class PolicyInvariantChecker {
 public:
  /// Keeps a reference to `settings` and `hosts`, which must outlive the checker.
  PolicyInvariantChecker(const PolicySettings& settings, std::vector<SimulatedHost>& hosts);

  /// Checks an attempt of `request` to `host` before the caller counts it. `writeBy` is the latest time at
  /// which the gateway may still write it.
  void attemptStarted(const SimulatedRequest& request, HostId host, TimePoint now, TimePoint writeBy);

  /// How a gateway ends a request without a host's response.
  enum class FinalAnswer { rejected, failed };
  /// Checks a final answer that the gateway generated itself, and records it in `request`.
  void requestAnswered(SimulatedRequest& request, FinalAnswer answer, TimePoint now);

  /// Checks that `request` has been answered; called at the time by which it must be.
  void checkAnswered(const SimulatedRequest& request);

  std::set<std::string> violations;

 private:
  struct CeilingBucket {
    double level = 0;  ///< Units; negative within the plan's slack.
    TimePoint updatedAt{};
  };

  const Method& methodOf(const SimulatedRequest& request) const;
  void checkAttemptLimits(const SimulatedRequest& request);
  void checkRepetition(const SimulatedRequest& request, HostId host, TimePoint now, TimePoint writeBy);
  void checkHardCeiling(const SimulatedRequest& request, TimePoint now);
  void checkSlowStart(SimulatedHost& host, double units, TimePoint now);

  const PolicySettings& settings_;
  std::vector<SimulatedHost>& hosts_;
  std::map<std::uint64_t, CeilingBucket> ceilings_;
};

}  // namespace merlinbridge::testing
