#include "policy/customer_table.hpp"

#include <algorithm>

#include "policy/count_slot.hpp"
#include "policy/counter_exchange.hpp"

namespace merlinbridge::policy {

CustomerState& CustomerTable::customerOf(const Request& request) {
  const PolicySettings& settings = context_.settings;
  const std::uint32_t gateways = std::clamp(request.gateways, 1u, std::max(1u, settings.gateways));
  const Plan& plan = settings.plans[request.plan.value];
  const auto [found, isNew] =
      customers_.try_emplace(request.customer, request.customer, plan, gateways, context_);
  found->second.lastSeen = context_.now;
  return found->second;
}

void CustomerTable::sweep() {
  if (context_.now - sweptAt_ <= slotLength()) return;
  sweptAt_ = context_.now;
  std::erase_if(customers_, [this](const auto& entry) { return forgettable(entry.second); });
}

bool CustomerTable::forgettable(const CustomerState& customer) const {
  return CounterExchange::idle(customer) && customer.concurrency.idle() &&
         context_.now - customer.lastSeen > countRetention();
}

}  // namespace merlinbridge::policy
