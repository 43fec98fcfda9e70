#pragma once

#include "policy/concurrency_limit.hpp"
#include "policy/engine_context.hpp"
#include "policy/hard_ceiling.hpp"
#include "policy/quota_bucket.hpp"

namespace merlinbridge::policy {

/// A customer's state in the exchange with the counter service. Changed only by CounterExchange.
struct CounterRound {
  /// idle -> queued when the customer sends a request; queued -> callInFlight when the call rate allows the
  /// call; queued -> idle if the queue of calls is full or the count has a call in flight; callInFlight ->
  /// idle when the call ends, and then -> queued if requests arrived in the meantime or the call failed.
  enum class State {
    idle,         ///< The customer has no call queued or in flight.
    queued,       ///< Waits for the end of the round, or in the queue of calls.
    callInFlight  ///< A call to the counter service is in flight.
  };

  State state = State::idle;
  bool requestedSinceCall = false;  ///< Whether a request arrived since the last call started.
  int consecutiveFailures = 0;      ///< Consecutive rounds whose call failed.
  TimePoint startedAt{};            ///< Start of the round, which is the start of its call.
};

/// The state of one customer at this gateway: its limits, each a separate class, and its state in the
/// exchange with the counter service.
struct CustomerState {
  /// `gateways`: number of gateways that receive the customer's requests, at least 1. The plan must outlive
  /// this object.
  CustomerState(CustomerId customerId, const Plan& customerPlan, double gateways,
                const EngineContext& context);

  /// Sets the number of gateways that share the customer's limits. Any client can name the customer and state
  /// a number, so it holds for the checks of one request only.
  void setGateways(double gateways);

  const CustomerId id;
  const Plan& plan;
  QuotaBucket bucket;
  HardCeiling ceiling;
  ConcurrencyLimit concurrency;
  CounterRound round;
  TimePoint lastRequestAt{};  ///< Arrival of the customer's last request.
  bool everAdmitted = false;  ///< Whether a request of the customer was admitted.
};

}  // namespace merlinbridge::policy
