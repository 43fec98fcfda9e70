#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "policy/request_in_flight.hpp"

namespace merlinbridge::policy {

/// Owns the requests in flight, and the order in which their attempts started, so that attempts can be
/// checked for being overdue, the oldest first. Decides nothing: the engine adds, finds and removes requests,
/// and says at a sweep what becomes of each attempt.
///
/// A request's address is stable until it is removed. Nothing depends on the order of the hash table.
class RequestTable {
 public:
  /// What becomes of an attempt that was checked.
  enum class CheckResult {
    again,  ///< It is checked at the next sweep too.
    done    ///< It is not checked any more.
  };
  /// Checks one attempt in flight. May start attempts, which are first checked at the next sweep; must not
  /// remove a request.
  using CheckAttempt = std::function<CheckResult(RequestInFlight&, AttemptNumber)>;

  /// Adds a request that was admitted. The id must not be in use. The customer must outlive the request.
  RequestInFlight& add(const Request& request, TimePoint arrivedAt, CustomerState& customer);

  /// The request of that id; nullptr where none is in flight.
  RequestInFlight* find(RequestId id);

  /// Removes a request, which must be in flight.
  void remove(RequestId id);

  /// The request has started its last attempt: that one is checked from the next sweep on.
  void attemptStarted(const RequestInFlight& request);

  /// Calls `check` for each attempt in flight that is still to be checked, in the order of the last sweep.
  void sweepAttempts(const CheckAttempt& check);

 private:
  /// Names an attempt whose request may be gone by now.
  struct AttemptRef {
    RequestId request;
    AttemptNumber number;
  };

  std::unordered_map<std::uint64_t, RequestInFlight> requests_;  ///< By the value of the id; never iterated.
  std::deque<AttemptRef> attemptsToCheck_;  ///< Those of ended attempts leave at a sweep.
};

}  // namespace merlinbridge::policy
