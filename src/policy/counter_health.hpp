#pragma once

#include "policy/engine_context.hpp"
#include "policy/state_notice.hpp"

namespace merlinbridge::policy {

/// Decides whether the counter service is unreachable, from the outcomes of all customers' calls, and reports
/// when it becomes unreachable and when it recovers. Notified of the end of each call.
class CounterHealth {
 public:
  /// The context must outlive this object.
  explicit CounterHealth(EngineContext& context);

  /// Length of a customer's round: the shortest time between the starts of its calls.
  static Duration roundLength(const PolicySettings& settings);

  /// Whether a customer with `failedRounds` consecutive failed rounds must treat the service as unreachable,
  /// even if calls of other customers succeed.
  static bool unreachableAfter(int failedRounds);

  /// A call has ended.
  void recordCall(CounterCallOutcome outcome);

  /// Whether all calls of the last three rounds failed. All customers then treat the service as unreachable,
  /// without failed calls of their own.
  bool unreachable() const;

 private:
  EngineContext& context_;
  TimePoint lastSuccessAt_;      ///< The start of the process until the first success.
  int consecutiveFailures_ = 0;  ///< Failed calls of any customer since the last success.
  StateNotice notice_;
};

}  // namespace merlinbridge::policy
