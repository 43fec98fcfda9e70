#pragma once

#include <string_view>

#include "policy_api/decision_engine.hpp"

/// The counter service's protocol: the outcome of a call from its response, or without one.
namespace merlinbridge::net {

/// A call's outcome and total, from its response.
struct CounterResponse {
  CounterCallOutcome outcome = CounterCallOutcome::unknown;
  double total = 0;  ///< Units counted under the key after the call; 0 unless the outcome is `ok`.
};

/// Parses a response with this HTTP status and body. The outcome of a 200 whose body is not a finite number
/// is `unknown`.
CounterResponse parseCounterResponse(int status, std::string_view body);

/// Whether any byte of a call may have been written to the counter service.
enum class CallDelivery { neverWritten, maybeWritten };

/// The outcome of a call that ends without a response.
CounterCallOutcome outcomeWithoutResponse(CallDelivery);

}  // namespace merlinbridge::net
