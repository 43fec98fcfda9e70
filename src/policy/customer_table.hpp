#pragma once

#include <map>

#include "policy/customer_state.hpp"
#include "policy/engine_context.hpp"

namespace merlinbridge::policy {

/// Stores the customers' states and decides when to remove them: once the customer has sent no request for
/// the retention time of a count, has no attempt in flight and no call to the counter service queued or in
/// flight. Looked up for each request; swept together with the attempts in flight.
///
/// The address of a state is stable until it is removed.
class CustomerTable {
 public:
  explicit CustomerTable(const EngineContext& context) : context_(context) {}

  /// Returns the state of the request's customer, creating it if there is none, and records the time of the
  /// request.
  CustomerState& findOrCreate(const Request& request);

  /// Removes idle customers, at most once per time slot.
  void sweep();

 private:
  bool isExpired(const CustomerState& customer) const;

  const EngineContext& context_;
  std::map<CustomerId, CustomerState> customers_;
  TimePoint lastSweepAt_{};
};

}  // namespace merlinbridge::policy
