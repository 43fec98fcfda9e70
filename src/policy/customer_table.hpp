#pragma once

#include <map>

#include "policy/customer_state.hpp"
#include "policy/engine_context.hpp"

namespace merlinbridge::policy {

/// Decides how long a customer's state is retained: until the customer has sent nothing for the retention of
/// a count, has no attempt in flight and nothing that waits for the counter service. Looked up for each
/// request; swept with the attempts in flight.
///
/// The states' addresses are stable until they are forgotten.
class CustomerTable {
 public:
  explicit CustomerTable(const EngineContext& context) : context_(context) {}

  /// The state of the request's customer, made where there is none; marks the customer as seen now.
  CustomerState& findOrCreate(const Request& request);

  /// Forgets idle customers, once in a slot of time at most.
  void sweep();

 private:
  bool isExpired(const CustomerState& customer) const;

  const EngineContext& context_;
  std::map<CustomerId, CustomerState> customers_;
  TimePoint lastSweepAt_{};
};

}  // namespace merlinbridge::policy
