#pragma once

#include <string_view>

#include "policy_api/decision_engine.hpp"

/// The outcome table of the counter service's protocol: what an answer, or its absence, says of a call.
namespace merlinbridge::net {

/// What an answer says of the call that it answers.
struct CounterResponse {
  CounterCallOutcome outcome = CounterCallOutcome::unknown;
  double total = 0;  ///< Units counted under the key after the call; 0 unless the outcome is `ok`.
};

/// Reads an answer with that HTTP status and body. A 200 whose body is not a finite number is `unknown`.
CounterResponse parseCounterResponse(int status, std::string_view body);

/// Whether any byte of a call may have reached the counter service.
enum class CallDelivery { neverWritten, maybeWritten };

/// The outcome of a call that ends without an answer.
CounterCallOutcome outcomeWithoutResponse(CallDelivery);

}  // namespace merlinbridge::net
