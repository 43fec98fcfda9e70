#pragma once

#include <deque>
#include <functional>
#include <map>

#include "policy/customer_state.hpp"
#include "policy/engine_context.hpp"
#include "policy/state_notice.hpp"
#include "util/call_pacer.hpp"

namespace merlinbridge::policy {

/// Decides when a customer's units are exchanged with the counter service: one call a round for each customer
/// that sends requests, paced by how the service answers (additive increase, multiplicative decrease), and
/// quotas divided among the gateways while it is silent.
class CounterExchange {
 public:
  explicit CounterExchange(EngineContext& context);

  /// Seconds over which a customer's use is remembered.
  static double lookBack(const PolicySettings& settings);

  /// Brings a customer's bucket and ceiling up to now; divides the quota while the service is silent.
  void refill(CustomerState& customer) const;
  /// A request has come: the customer gets a round, now or when its last one is over.
  void schedule(CustomerState& customer);
  /// A call has ended. `total`: of that count, where `end` is ok. `took`: the call's duration.
  void callEnded(const CounterKey& name, CounterCallOutcome end, double total, Duration took);
  /// Nothing of that customer waits for the service.
  static bool idle(const CustomerState& customer) {
    return !customer.round.callInFlight && !customer.round.queued;
  }

 private:
  /// Called once, when the call ends.
  using CallEnded = std::function<void(CounterCallOutcome, double total)>;

  Duration roundTime() const;
  /// All calls of three rounds have failed: no customer need find it out on its own.
  bool silent() const;
  void enqueue(CustomerState& customer) {
    queue_.push_back(&customer);
    drainQueue();
  }
  /// Paces the calls against a crowded, slow or silent service. Costs fresh totals for a moment when the
  /// service is back, until the pace has grown again.
  void drainQueue();
  /// One call a round. A slot's last total is not read when the slot turns, nor the slot before for a new
  /// customer: a busy service must not fill up with calls that only read. Costs accuracy right after a
  /// turn.
  void startCall(CustomerState& customer);
  void finishCall(CustomerState& customer, SlotId slot, double units, CounterCallOutcome end, double total);
  void adjustPace(CounterCallOutcome end, Duration took);

  EngineContext& context_;
  std::map<CounterKey, std::deque<CallEnded>> callsInFlight_;
  std::deque<CustomerState*> queue_;  ///< Customers whose round is due.
  util::CallPacer pacer_;             ///< Calls in one counter timeout.
  TimePoint lastSuccessAt_;
  int failuresInRow_ = 0;
  bool drainScheduled_ = false;
  StateNotice silenceNotice_;
};

}  // namespace merlinbridge::policy
