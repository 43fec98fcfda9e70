#pragma once

#include <deque>
#include <map>

#include "policy/counter_health.hpp"
#include "policy/customer_state.hpp"
#include "policy/engine_context.hpp"
#include "util/call_pacer.hpp"

namespace merlinbridge::policy {

/// Decides when a customer's units are exchanged with the counter service: one call a round for each customer
/// that sends requests, at a pace that follows how the service answers (additive increase, multiplicative
/// decrease). While the service is unreachable, customers' quotas are divided among the gateways. Called for
/// each request of a customer, at the end of each call, and by its own timers.
class CounterExchange {
 public:
  /// The context must outlive this object.
  explicit CounterExchange(EngineContext& context);

  /// Seconds over which a customer's use is remembered.
  static double lookBackSeconds(const PolicySettings& settings);

  /// Brings the customer's quota bucket and ceiling up to now, and divides the quota while the service is
  /// unreachable.
  void refill(CustomerState& customer) const;

  /// A request of the customer has arrived: its units are exchanged now, or when the customer's last round is
  /// over. The customer must not be destroyed before idle() is true.
  void scheduleCall(CustomerState& customer);

  /// A call has ended. `total`: of the count after the call, where `outcome` is ok. `duration`: of the call.
  void callEnded(const CounterKey& key, CounterCallOutcome outcome, double total, Duration duration);

  /// Whether nothing of that customer waits for the counter service.
  static bool idle(const CustomerState& customer);

 private:
  /// A call that has not ended, by its key: a customer has one at most.
  struct CallInFlight {
    CustomerState* customer;
    double units;  ///< That the call is to add.
  };

  /// Puts the customer, whose round is over, at the end of the queue.
  void enqueue(CustomerState& customer);
  /// Starts the calls of queued customers while the pace allows, so that the gateways do not press a crowded
  /// or slow service. The cost is stale totals for a moment when the service is back, until the pace has
  /// grown again.
  void drainQueue();
  void startDueCalls();
  /// Starts the one call of the customer's round. The last total of a slot is not read when the slot turns,
  /// nor the slot before for a new customer: a busy service must not fill up with calls that only read. The
  /// cost is accuracy right after a turn.
  void startCall(CustomerState& customer);
  void finishCall(const CallInFlight& call, SlotId slot, CounterCallOutcome outcome, double total);
  /// Raises the pace after a quick answer, and cuts it after a late one or none.
  void adjustPace(CounterCallOutcome outcome, Duration duration);
  /// The counter timeout in seconds, above 0: the period that the pace counts calls in.
  double pacePeriodSeconds() const;

  EngineContext& context_;
  std::map<CounterKey, CallInFlight> callsInFlight_;
  std::deque<CustomerState*> queue_;  ///< Customers whose round is due.
  util::CallPacer pacer_;             ///< In calls per counter timeout.
  bool drainScheduled_ = false;       ///< Whether a timer will call drainQueue().
  CounterHealth health_;
};

}  // namespace merlinbridge::policy
