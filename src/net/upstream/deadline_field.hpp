#pragma once

#include <string>
#include <string_view>

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// Everything that the gateway writes before the value of the Req-Deadline-Ms field: the end of the previous
/// header line and the field's name. The value tells the host how many milliseconds remain until the client
/// no longer needs the response.
inline constexpr std::string_view kDeadlineLine = "\r\nReq-Deadline-Ms: ";

/// The field's value for the remaining time `left`: whole milliseconds, rounded up, at least 1.
long millisecondsLeft(Duration left);

/// Returns `message` with the field's value set to `left`. The message's head must contain
/// kDeadlineLine.
std::string withDeadline(std::string_view message, Duration left);

}  // namespace merlinbridge::net
