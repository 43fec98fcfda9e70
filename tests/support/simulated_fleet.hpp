#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "policy_api/decision_engine.hpp"
#include "policy_invariant_checker.hpp"
#include "simulated_fleet_records.hpp"

/// \file
/// A fleet of decision engines in simulated time, for tests of the policy's rules.
namespace merlinbridge::testing {

using namespace std::chrono_literals;

/// Settings with four methods (0: idempotent; 1 and 2: deduplicated, everywhere or within a zone; 3:
/// non-idempotent), three plans (0: quota of 4 units/s, burst 12; 1: two open attempts; 2: quota, hard
/// ceiling) and a counter service.
PolicySettings testPolicySettings(std::uint32_t gateways = 3);

/// Several gateways' decision engines, six hosts, a counter service and clients, all simulated in one event
/// queue; a PolicyInvariantChecker checks all their decisions. It uses no sockets and no real time; the same
/// seed gives the same run.
///
/// Times are simulated: `now` moves only within runUntil() and runFor().
class SimulatedFleet {
 public:
  /// Probabilities, 0 to 1, of faults in each later attempt and counter call.
  struct FaultProbabilities {
    double attemptLost = 0;  ///< The connection fails, in half of the cases after the request was written.
    double hostError = 0;    ///< The host responds with an error.
    double hostUnresponsive = 0;     ///< The host never responds.
    double hostRejects = 0;          ///< The host declines the request.
    double counterCallLost = 0;      ///< The counter does not receive the call; it times out.
    double counterResponseLate = 0;  ///< The counter adds the units, but the call times out.
  };

  /// Starts `settings.gateways` gateways. `seed` decides all random draws, the engines' seeds included.
  SimulatedFleet(PolicySettings settings, std::uint64_t seed);
  SimulatedFleet(const SimulatedFleet&) = delete;
  SimulatedFleet& operator=(const SimulatedFleet&) = delete;
  ~SimulatedFleet();

  /// Runs `action` at simulated time `when`; actions with the same time run in the order in which they were
  /// scheduled.
  void schedule(TimePoint when, std::function<void()> action);
  /// Runs all actions due by `end`. Throws std::runtime_error if more than 100,000 consecutive
  /// actions are due at the same time.
  void runUntil(TimePoint end);
  void runFor(Duration span) { runUntil(now + span); }

  /// Starts gateway `gateway`, or restarts it after a kill, with a new engine that knows only the hosts.
  void startGateway(std::uint32_t gateway);
  /// Kills gateway `gateway` immediately. Its unanswered requests count as answered, since their clients see
  /// a closed connection.
  void killGateway(std::uint32_t gateway);
  bool isRunning(std::uint32_t gateway) const { return gateways_[gateway].engine != nullptr; }
  /// Sends the current state of `hosts` to all gateways, as discovery does.
  void publishHosts();

  /// Sends a request to `gateway`, which must be running, and checks at its deadline that it was answered.
  /// The returned record stays valid as long as the fleet.
  SimulatedRequest& sendRequest(std::uint32_t gateway, std::uint64_t customer, std::uint32_t plan,
                                std::uint32_t method, double units, Duration timeout = 2s);
  /// Sends each gateway one request of plan 0 every 10 ms, `steps` times, cycling through 40 customers.
  void applyUniformLoad(int steps);
  /// Number of requests that were answered with a host's response.
  int servedRequests() const;

  PolicySettings settings;
  TimePoint now{1000s};
  FaultProbabilities faults;
  std::vector<SimulatedHost> hosts;
  std::map<std::uint64_t, SimulatedRequest> requests;  ///< All requests ever sent, by id.
  std::map<std::string, double> counters;  ///< The counter service's values; a test may clear them.
  std::vector<EngineEvent> events;         ///< Events that the engines have reported, in order.
  int counterCalls = 0;
  PolicyInvariantChecker invariants;

 private:
  class EngineSink;
  struct Gateway {
    std::unique_ptr<EngineSink> sink;
    std::unique_ptr<DecisionEngine> engine;  ///< Null if the gateway was killed.
  };
  /// An attempt's end, decided when the attempt starts.
  struct AttemptEnd {
    RequestId requestId;
    std::uint32_t attemptNumber;
    HostId host;
    Outcome outcome;
    Duration duration;
  };

  bool bernoulli(double probability);
  std::vector<HostUpdate> hostUpdates() const;
  /// The engine of `gateway`, or null if it no longer runs in that incarnation.
  DecisionEngine* engineOf(std::uint32_t gateway, std::uint64_t incarnation) const;
  AttemptEnd drawAttemptEnd(const SimulatedRequest& request, HostId host, TimePoint abandonAt);
  void endAttempt(std::uint32_t gateway, std::uint64_t incarnation, const AttemptEnd& end);

  std::map<std::pair<TimePoint, std::uint64_t>, std::function<void()>> actions_;
  std::uint64_t lastAction_ = 0;
  std::uint64_t lastIncarnation_ = 0;
  std::uint64_t lastRequest_ = 0;
  std::ranlux24_base random_;
  std::deque<Gateway> gateways_;
};

}  // namespace merlinbridge::testing
