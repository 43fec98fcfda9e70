#pragma once

#include <deque>
#include <functional>
#include <unordered_map>

#include "policy/request_in_flight.hpp"

namespace merlinbridge::policy {

/// Owns the requests in flight, and stores the order in which their attempts started, so that a sweep can
/// check the oldest attempts first for being overdue. Makes no decisions: the engine adds, finds and removes
/// requests, and passes the check to a sweep.
///
/// The address of a request is stable until it is removed. Nothing depends on the order of the hash table.
class RequestTable {
 public:
  /// Whether a checked attempt is to be checked again.
  enum class CheckResult {
    again,  ///< Check it again at the next sweep.
    done    ///< Do not check it any more.
  };
  /// Checks an attempt in flight. It may start attempts, which are first checked at the next sweep, but must
  /// not remove a request.
  using CheckAttempt = std::function<CheckResult(RequestInFlight&, AttemptNumber)>;

  /// Adds an admitted request. Its id must not be in use. The customer must outlive the request.
  RequestInFlight& add(const Request& request, TimePoint arrivedAt, CustomerState& customer);

  /// Returns the request with that id, or nullptr if it is not in flight.
  RequestInFlight* find(RequestId id);

  /// Removes a request. It must be in flight.
  void remove(RequestId id);

  /// Records that the last attempt in `request.attempts` has started. Sweeps check it from the next one on.
  void attemptStarted(const RequestInFlight& request);

  /// Calls `check` for each attempt in flight that is to be checked, in the order in which the attempts
  /// started.
  void sweepAttempts(const CheckAttempt& check);

 private:
  /// Refers to an attempt whose request may have been removed.
  struct AttemptRef {
    RequestId request;
    AttemptNumber number;
  };

  std::unordered_map<std::uint64_t, RequestInFlight> requests_;  ///< By RequestId; never iterated.
  std::deque<AttemptRef> attemptsToCheck_;  ///< In order of their start. A sweep removes ended ones.
};

}  // namespace merlinbridge::policy
