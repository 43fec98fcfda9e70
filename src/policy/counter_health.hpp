#pragma once

#include "policy/engine_context.hpp"
#include "policy/state_notice.hpp"

namespace merlinbridge::policy {

/// Decides whether the counter service is unreachable, from the outcomes of all customers' calls, and reports
/// when that begins and ends. Notified of the end of each call.
class CounterHealth {
 public:
  /// The context must outlive this object.
  explicit CounterHealth(EngineContext& context);

  /// Length of a customer's round: the time between its calls.
  static Duration roundLength(const PolicySettings& settings);

  /// Whether so many failed rounds in a row are enough for one customer to take the service for unreachable
  /// on its own.
  static bool unreachableAfter(int failedRounds);

  /// A call has ended.
  void recordCall(CounterCallOutcome outcome);

  /// Whether all calls of three rounds have failed, so that no customer needs to find that out on its own.
  bool unreachable() const;

 private:
  EngineContext& context_;
  TimePoint lastSuccessAt_;      ///< Start of the process before the first success.
  int consecutiveFailures_ = 0;  ///< Calls of any customer.
  StateNotice notice_;
};

}  // namespace merlinbridge::policy
