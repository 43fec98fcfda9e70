#pragma once

#include <string_view>

namespace merlinbridge::core {

// Names of the header fields in which a client describes its request. Matched case-insensitively.
inline constexpr std::string_view kRequestIdField = "Req-Id";  ///< Any text; required.
inline constexpr std::string_view kMethodField = "Req-Kind";   ///< A method of the configuration.
inline constexpr std::string_view kPlanField = "Plan";         ///< A plan of the configuration.
inline constexpr std::string_view kCustomerField = "Account";  ///< A hexadecimal number of at most 64 bits.
inline constexpr std::string_view kDeadlineField = "Req-Deadline-Ms";  ///< A whole number of milliseconds.
inline constexpr std::string_view kQuotaInfoField = "Quota-Info";      ///< A list like "units=2,spread=3".
inline constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";  ///< Any text; optional.

}  // namespace merlinbridge::core
