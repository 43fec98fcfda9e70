#pragma once

#include <optional>

#include "policy/counter_exchange.hpp"
#include "policy/customer_table.hpp"
#include "policy/host_selection.hpp"
#include "policy/load_shedding.hpp"
#include "policy/request_table.hpp"
#include "policy/retry_policy.hpp"

namespace merlinbridge {

/// Decides the order of the checks for a request, and hands every event on to the parts that learn from it.
/// Owns all parts; the order of the members is the order in which they need each other. Each public function
/// but advanceTo() handles one input of DecisionEngine, after advanceTo() has set its time.
class DecisionEngine::Impl {
 public:
  Impl(PolicySettings settings, std::uint64_t seed, TimePoint now, DecisionSink& sink);

  /// Sets the time of the input that is handled next.
  void advanceTo(TimePoint now);

  void updateHosts(const std::vector<HostUpdate>& updates);
  void updateAllHosts(const std::vector<HostUpdate>& updates);
  /// Admits the request and starts its first attempt, or rejects it. The checks in order: the customer's
  /// limits, the hosts' utilization, a host that may be sent the request. Spends the request's units only
  /// where an attempt starts.
  void admit(const Request& request);
  /// Ignores the result of an attempt that is unknown or has ended.
  void endAttempt(const AttemptResult& result);
  /// Marks the request as answered, so that nothing further is started for it. Ignores an unknown request.
  void markAnswered(RequestId id);
  void endCounterCall(const CounterKey& key, CounterCallOutcome outcome, double total, Duration duration);
  void fireTimer(TimerId timer);

 private:
  void updateHost(const HostUpdate& update);

  /// Checks the customer's limits, quota first, then those that need no counter service. Returns the seconds
  /// until the request may be repeated where one of them rejects it, empty where all admit it.
  std::optional<double> retryAfterIfLimited(const Request& request, const policy::CustomerState& customer);
  void reject(const Request& request, double retryAfterSeconds);
  /// Rejects the request for lack of capacity.
  void shed(const Request& request, double retryAfterSeconds);

  /// Starts an attempt of the request; false where no host may be sent it now.
  bool startAttempt(policy::RequestInFlight& request);
  std::optional<HostId> selectHost(const policy::RequestInFlight& request);
  /// Starts a retry where the attempt's end calls for one, and removes the request with its last attempt.
  void finishAttempt(policy::RequestInFlight& request, const AttemptResult& result);
  /// Hands the result on to what learns about hosts.
  void recordResult(const AttemptResult& result, const policy::RequestInFlight& request);
  /// Corrects the customer's use by what the result states.
  static void recordUsage(const AttemptResult& result, const policy::RequestInFlight& request);
  /// Gives the request its final answer, after its last attempt has ended without one.
  void rejectOrFail(policy::RequestInFlight& request);

  /// Deals with an attempt whose answer is not expected any more, whatever swallowed it: hedges the request
  /// where two attempts may be in flight, else cancels the attempt, whose end then leads to a retry. The cost
  /// is work done twice where every host is slow.
  void handleOverdue(policy::RequestInFlight& request, AttemptNumber number);

  /// Makes sure that a sweep follows within the sweep interval.
  void scheduleSweep();
  /// Checks what only time brings about: overdue attempts, changed capacity, idle customers. Repeated while
  /// attempts are in flight or load is shed.
  void sweep();
  policy::RequestTable::CheckResult checkAttempt(policy::RequestInFlight& request, AttemptNumber number);

  policy::EngineContext context_;
  util::HostTable hosts_;
  policy::HostStatistics statistics_{context_};
  policy::OutlierDetection outliers_{context_};
  policy::SlowStart slowStart_{context_, hosts_};
  policy::HostSelection selection_{context_, hosts_, statistics_, outliers_, slowStart_};
  policy::RetryPolicy retries_{context_, hosts_};
  policy::LoadShedding shedding_{context_, hosts_, statistics_, outliers_};
  policy::CounterExchange exchange_{context_};
  policy::CustomerTable customers_{context_};
  policy::RequestTable requests_;
  bool sweepScheduled_ = false;
};

}  // namespace merlinbridge
