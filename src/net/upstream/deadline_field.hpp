#pragma once

#include <string>
#include <string_view>

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// The header field that tells a host for how many milliseconds its answer is still of use, as the gateway
/// writes it: with the end of the line before.
inline constexpr std::string_view kDeadlineLinePrefix = "\r\nReq-Deadline-Ms: ";

/// The field's value for a time left: whole milliseconds, rounded up, at least 1.
long millisecondsLeft(Duration left);

/// Returns `message` with the field's value set to `left`. The message's head must contain
/// kDeadlineLinePrefix.
std::string withDeadline(std::string_view message, Duration left);

}  // namespace merlinbridge::net
