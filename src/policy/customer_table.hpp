#pragma once

#include <cstddef>
#include <map>
#include <utility>

#include "policy/customer_state.hpp"
#include "policy/engine_context.hpp"

namespace merlinbridge::policy {

/// Stores the customers' states and decides which ones to keep. A customer has one state for each plan that
/// requests in its name state, normally one. Any client can name any customer, so the
/// table has a fixed maximum size.
///
/// A state is removed once the customer has sent no request for the retention time of a count; earlier if the
/// table is full. It is kept in any case while the customer has an attempt in flight or a call to the counter
/// service queued or in flight, and until its hard ceiling is full again. Looked up for each request; swept
/// together with the attempts in flight.
///
/// The address of a state is stable until it is removed.
class CustomerTable {
 public:
  explicit CustomerTable(const EngineContext& context) : context_(context) {}

  /// Returns the state of the request's customer, creating it if there is none, and records the time of the
  /// request. Returns nullptr if the customer has no state, the table is full and no state can be removed.
  CustomerState* findOrCreate(const Request& request);

  /// Removes customers whose retention time is over, at most once per time slot.
  void sweep();

  /// The number of customers that have a state.
  std::size_t size() const { return customers_.size(); }

 private:
  using Key = std::pair<CustomerId, PlanId>;

  /// Removes states at most once per eviction interval, in this order until they are enough: the customers of
  /// whom no request was admitted, those with a full quota, those with the oldest last request. Returns
  /// whether the table has room now. The cost: a customer whose quota was not full may exceed it, and usage
  /// that was not published is lost to the other gateways.
  bool makeRoom();
  /// Removes the customers with a full quota. Returns their number.
  std::size_t removeFull();
  void removeOldest(std::size_t count);
  /// Whether the state may be removed without a risk to the hard ceiling or to a pointer to the state.
  bool isRemovable(const CustomerState& customer) const;
  bool isExpired(const CustomerState& customer) const;

  const EngineContext& context_;
  std::map<Key, CustomerState> customers_;
  TimePoint lastSweepAt_{};
  TimePoint lastEvictionAt_{};
};

}  // namespace merlinbridge::policy
