#include "policy/customer_state.hpp"

#include "policy/counter_exchange.hpp"

namespace merlinbridge::policy {

CustomerState::CustomerState(CustomerId customerId, const Plan& customerPlan, double gateways,
                             const EngineContext& context)
    : id(customerId),
      plan(customerPlan),
      bucket(customerPlan, gateways, context.settings.maxUnits.value_or(kDefaultUnits),
             CounterExchange::lookBackSeconds(context.settings), context.now),
      ceiling(customerPlan, gateways, context.startedAt),
      concurrency(customerPlan, gateways) {}

void CustomerState::setGateways(double gateways) {
  bucket.setGateways(gateways);
  ceiling.setGateways(gateways);
  concurrency.setGateways(gateways);
}

}  // namespace merlinbridge::policy
