#pragma once

#include <optional>

#include "policy/counter_exchange.hpp"
#include "policy/customer_table.hpp"
#include "policy/host_identity.hpp"
#include "policy/host_selection.hpp"
#include "policy/load_shedding.hpp"
#include "policy/request_table.hpp"
#include "policy/retry_policy.hpp"

namespace merlinbridge {

/// Implements DecisionEngine: runs the checks of a request in order, and passes each event to the components
/// that use it. Owns all components; a member may depend on members declared before it. Each public function
/// except advanceTo() handles one input of DecisionEngine, after advanceTo() has set its time.
class DecisionEngine::Impl {
 public:
  Impl(PolicySettings settings, std::uint64_t seed, TimePoint now, DecisionSink& sink);

  /// Sets the time of the next input.
  void advanceTo(TimePoint now);

  void updateHosts(const std::vector<HostUpdate>& updates);
  void updateAllHosts(const std::vector<HostUpdate>& updates);
  /// Admits the request and starts its first attempt, or rejects it. Checks in order: the customer's limits,
  /// the utilization of the hosts, and whether a host is available for the request. Spends the request's
  /// units only if an attempt starts.
  void admit(const Request& request);
  /// The Retry-After of a request that the customer's limits reject whatever number is drawn; empty
  /// otherwise.
  std::optional<Duration> rejectionInAdvance(const Request& request);
  /// Ignores the result of an attempt that is unknown or already ended.
  void endAttempt(const AttemptResult& result);
  /// Marks the request as answered, so that no further attempt is started. Ignores an unknown request.
  void markAnswered(RequestId id);
  /// A connection to the host without an attempt has broken.
  void hostConnectionBroke(HostId host) { identity_.recordBroken(host); }
  void endCounterCall(const CounterKey& key, CounterCallOutcome outcome, double total, Duration duration);
  void fireTimer(TimerId timer);

 private:
  void updateHost(const HostUpdate& update);

  /// Checks the customer's limits in order: quota, concurrency limit, hard ceiling. If a limit rejects the
  /// request, returns the seconds after which the client may retry; empty if all limits admit it.
  std::optional<double> retryAfterIfLimited(const Request& request, const policy::CustomerState& customer);
  /// The state of the request's customer as of now, with the next round scheduled; nullptr if the table is
  /// full.
  policy::CustomerState* currentCustomer(const Request& request);
  Duration retryAfter(double seconds) const;
  void reject(const Request& request, double retryAfterSeconds);
  /// Rejects the request for lack of capacity.
  void shed(const Request& request, double retryAfterSeconds);

  /// Starts an attempt of the request. Returns false if no host is available for it now.
  bool startAttempt(policy::RequestInFlight& request);
  std::optional<HostId> selectHost(const policy::RequestInFlight& request);
  /// Handles the end of an attempt: retries the request if it has no response and a retry is allowed, and
  /// removes the request after its last attempt.
  void finishAttempt(policy::RequestInFlight& request, const AttemptResult& result);
  /// Passes the result to the components that keep data about hosts.
  void recordResult(const AttemptResult& result, const policy::RequestInFlight& request);
  /// Records the customer's usage that only the result of an attempt reveals: seconds in flight, true cost.
  static void recordUsage(const AttemptResult& result, const policy::RequestInFlight& request);
  /// Sends the final response of a request whose last attempt ended without a response.
  void rejectOrFail(policy::RequestInFlight& request);

  /// Handles an attempt whose response is no longer expected, whatever the cause: hedges the request if
  /// hedging is allowed; otherwise cancels the attempt if cancelling is allowed, and its end then leads to a
  /// retry. The cost is duplicate work while all hosts are slow.
  void handleOverdue(policy::RequestInFlight& request, AttemptNumber number);

  /// Schedules a sweep after the sweep interval, unless one is already scheduled.
  void scheduleSweep();
  /// Handles changes that come with time rather than with an input: overdue attempts, changed capacity, idle
  /// customers. Repeated while attempts are in flight or load is shed.
  void sweep();
  policy::RequestTable::CheckResult checkAttempt(policy::RequestInFlight& request, AttemptNumber number);

  policy::EngineContext context_;
  util::HostTable hosts_;
  policy::HostStatistics statistics_{context_};
  policy::OutlierDetection outliers_{context_};
  policy::SlowStart slowStart_{context_, hosts_};
  policy::HostSelection selection_{context_, hosts_, statistics_, outliers_, slowStart_};
  policy::HostIdentity identity_{context_};
  policy::RetryPolicy retries_{context_, hosts_, identity_};
  policy::LoadShedding shedding_{context_, hosts_, statistics_, outliers_};
  policy::CounterExchange exchange_{context_};
  policy::CustomerTable customers_{context_};
  policy::RequestTable requests_;
  bool sweepScheduled_ = false;
};

}  // namespace merlinbridge
