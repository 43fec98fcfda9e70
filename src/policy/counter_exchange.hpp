#pragma once

#include <deque>
#include <map>

#include "policy/counter_health.hpp"
#include "policy/customer_state.hpp"
#include "policy/engine_context.hpp"
#include "util/call_pacer.hpp"

namespace merlinbridge::policy {

/// Decides when a customer's units are exchanged with the counter service: one call per round for each
/// customer that sends requests, at a call rate that adapts to the service's response times (additive
/// increase, multiplicative decrease). While the service is unreachable, the customers' quotas are divided
/// among the gateways. Called for each request of a customer, at the end of each call, and by its own timers.
class CounterExchange {
 public:
  /// The context must outlive this object.
  explicit CounterExchange(EngineContext& context);

  /// Time constant, in seconds, of the averages of a customer's usage.
  static double lookBackSeconds(const PolicySettings& settings);

  /// Refills the customer's quota bucket and hard ceiling up to the current time. Divides the quota while the
  /// service is unreachable.
  void refill(CustomerState& customer) const;

  /// A request of the customer has arrived: its next call is queued now, or when the customer's current round
  /// ends. The customer must not be destroyed before idle() is true.
  void scheduleCall(CustomerState& customer);

  /// A call has ended. `total`: the units in the count after the call, valid if `outcome` is ok. `duration`:
  /// of the call.
  void callEnded(const CounterKey& key, CounterCallOutcome outcome, double total, Duration duration);

  /// Whether the customer has no call queued or in flight.
  static bool idle(const CustomerState& customer);

 private:
  /// A call that has not ended. A customer has at most one.
  struct CallInFlight {
    CustomerState* customer;
    double units;  ///< The units that the call adds.
  };

  /// Appends the customer, whose round is over, to the queue; if the queue is full, the customer is idle
  /// again.
  void enqueue(CustomerState& customer);
  /// Starts the calls of queued customers as far as the call rate allows, so that the gateways do not
  /// overload a busy or slow service. The cost: when the service recovers, totals are stale until the rate
  /// has increased again.
  void drainQueue();
  void startDueCalls();
  /// Starts the call of the customer's round. The customer is idle again if its count has a call in flight,
  /// which is then one for a request that stated another plan. There are no read-only calls, which would
  /// overload a busy service: neither for the final total of a slot when the next one begins, nor for the
  /// previous slot of a new customer. The cost is lower accuracy right after a slot begins.
  void startCall(CustomerState& customer);
  void finishCall(const CallInFlight& call, SlotId slot, CounterCallOutcome outcome, double total);
  /// Raises the call rate after a quick response, and reduces it after a late response or a failure.
  void adjustCallRate(CounterCallOutcome outcome, Duration duration);
  /// The period of the call rate: the counter timeout in seconds, above 0.
  double callRatePeriodSeconds() const;

  EngineContext& context_;
  std::map<CounterKey, CallInFlight> callsInFlight_;
  std::deque<CustomerState*> queue_;  ///< Customers whose round is due.
  util::CallPacer pacer_;             ///< Limits calls; its period is the counter timeout.
  bool drainScheduled_ = false;       ///< Whether a timer is set that calls drainQueue().
  CounterHealth health_;
};

}  // namespace merlinbridge::policy
