#include "policy/customer_table.hpp"

#include <algorithm>
#include <vector>

#include "policy/count_slot.hpp"
#include "policy/counter_exchange.hpp"

namespace merlinbridge::policy {
namespace {

/// Customers that may have a state at the same time. Bounds the memory, whatever customers the clients name.
constexpr std::size_t kMaxCustomers = 16384;

/// A full table removes at least this many customers at a time, if it may remove them.
constexpr std::size_t kMinRemovedCustomers = kMaxCustomers / 8;

/// Shortest time between two searches of a full table for states to remove. Bounds their CPU time.
constexpr Duration kEvictionInterval = std::chrono::milliseconds(50);

}  // namespace

CustomerState* CustomerTable::findOrCreate(const Request& request) {
  const PolicySettings& settings = context_.settings;
  const std::uint32_t gateways = std::clamp(request.gateways, 1u, std::max(1u, settings.gateways));
  const Key key{request.customer, request.plan};
  auto found = customers_.find(key);
  if (found == customers_.end()) {
    if (customers_.size() >= kMaxCustomers && !makeRoom()) return nullptr;
    const Plan& plan = settings.plans[request.plan.value];
    found = customers_.try_emplace(key, request.customer, plan, gateways, context_).first;
  }
  CustomerState& customer = found->second;
  customer.setGateways(gateways);
  customer.lastRequestAt = context_.now;
  return &customer;
}

void CustomerTable::sweep() {
  if (context_.now - lastSweepAt_ <= slotLength()) return;
  lastSweepAt_ = context_.now;
  std::erase_if(customers_, [this](const auto& entry) { return isExpired(entry.second); });
}

bool CustomerTable::makeRoom() {
  if (context_.now - lastEvictionAt_ < kEvictionInterval) return false;
  lastEvictionAt_ = context_.now;
  std::size_t removed = std::erase_if(customers_, [this](const auto& entry) {
    return isRemovable(entry.second) && !entry.second.everAdmitted;
  });
  if (removed < kMinRemovedCustomers) removed += removeFull();
  if (removed < kMinRemovedCustomers) removeOldest(kMinRemovedCustomers - removed);
  return customers_.size() < kMaxCustomers;
}

std::size_t CustomerTable::removeFull() {
  return std::erase_if(customers_, [this](const auto& entry) {
    return isRemovable(entry.second) && entry.second.bucket.isFull(context_.now);
  });
}

void CustomerTable::removeOldest(std::size_t count) {
  std::vector<TimePoint> lastRequests;
  for (const auto& [key, customer] : customers_)
    if (isRemovable(customer)) lastRequests.push_back(customer.lastRequestAt);
  if (lastRequests.empty()) return;
  const std::size_t last = std::min(count, lastRequests.size()) - 1;
  const auto newestRemoved = lastRequests.begin() + static_cast<std::ptrdiff_t>(last);
  std::nth_element(lastRequests.begin(), newestRemoved, lastRequests.end());
  std::erase_if(customers_, [this, removedUntil = *newestRemoved](const auto& entry) {
    return isRemovable(entry.second) && entry.second.lastRequestAt <= removedUntil;
  });
}

bool CustomerTable::isRemovable(const CustomerState& customer) const {
  return CounterExchange::idle(customer) && customer.concurrency.idle() &&
         customer.ceiling.isFull(context_.now);
}

bool CustomerTable::isExpired(const CustomerState& customer) const {
  return isRemovable(customer) && context_.now - customer.lastRequestAt > countRetention();
}

}  // namespace merlinbridge::policy
