#pragma once

#include "policy/concurrency_limit.hpp"
#include "policy/engine_context.hpp"
#include "policy/hard_ceiling.hpp"
#include "policy/quota_bucket.hpp"

namespace merlinbridge::policy {

/// Where a customer is in the exchange with the counter service. Changed by CounterExchange alone.
struct CounterRound {
  /// idle -> queued when the customer sends a request; queued -> callInFlight when the pace allows the call;
  /// callInFlight -> idle when the call ends, and on to queued where requests came meanwhile or the call
  /// failed.
  enum class State {
    idle,         ///< Nothing of the customer waits for the counter service.
    queued,       ///< Waits for the round to be over, or for its turn under the pace.
    callInFlight  ///< A call to the counter service has not ended.
  };

  State state = State::idle;
  bool requestedSinceCall = false;  ///< Whether the customer has sent requests since the last call started.
  int consecutiveFailures = 0;      ///< Rounds whose call failed, since the last one that did not.
  TimePoint startedAt{};            ///< Start of the round: of its call.
};

/// The state of one customer at this gateway: its limits, and its place in the exchange with the counter
/// service. The limits are classes of their own; this is what holds them together.
struct CustomerState {
  /// `gateways`: how many the customer's requests come through, at least 1. The plan must outlive this
  /// object.
  CustomerState(CustomerId customerId, const Plan& customerPlan, double gateways,
                const EngineContext& context);

  const CustomerId id;
  const Plan& plan;
  QuotaBucket bucket;
  HardCeiling ceiling;
  ConcurrencyLimit concurrency;
  CounterRound round;
  TimePoint lastRequestAt{};  ///< Arrival of the customer's last request.
};

}  // namespace merlinbridge::policy
