#include "policy/customer_table.hpp"

#include <algorithm>

#include "policy/count_slot.hpp"
#include "policy/counter_exchange.hpp"

namespace merlinbridge::policy {

CustomerState& CustomerTable::findOrCreate(const Request& request) {
  const PolicySettings& settings = context_.settings;
  const std::uint32_t gateways = std::clamp(request.gateways, 1u, std::max(1u, settings.gateways));
  const Plan& plan = settings.plans[request.plan.value];
  const auto [found, isNew] =
      customers_.try_emplace(request.customer, request.customer, plan, gateways, context_);
  found->second.lastRequestAt = context_.now;
  return found->second;
}

void CustomerTable::sweep() {
  if (context_.now - lastSweepAt_ <= slotLength()) return;
  lastSweepAt_ = context_.now;
  std::erase_if(customers_, [this](const auto& entry) { return isExpired(entry.second); });
}

bool CustomerTable::isExpired(const CustomerState& customer) const {
  return CounterExchange::idle(customer) && customer.concurrency.idle() &&
         context_.now - customer.lastRequestAt > countRetention();
}

}  // namespace merlinbridge::policy
