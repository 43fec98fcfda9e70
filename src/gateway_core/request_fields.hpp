#pragma once

#include <string_view>

namespace merlinbridge::core {

// Names of the header fields in which a client describes its request. Matched case-insensitively. Each may
// occur once.
inline constexpr std::string_view kRequestIdField = "Req-Id";          ///< 16 hexadecimal digits; required.
inline constexpr std::string_view kMethodField = "Req-Kind";           ///< A method of the configuration.
inline constexpr std::string_view kPlanField = "Plan";                 ///< A plan of the configuration.
inline constexpr std::string_view kCustomerField = "Account";          ///< 16 hexadecimal digits, below 2^33.
inline constexpr std::string_view kDeadlineField = "Req-Deadline-Ms";  ///< A whole number of milliseconds.
inline constexpr std::string_view kQuotaInfoField = "Quota-Info";      ///< A list like "units=2,spread=3".
/// Required for a method that hosts deduplicate, not allowed for one that must not run twice.
inline constexpr std::string_view kIdempotencyKeyField = "Idempotency-Key";

}  // namespace merlinbridge::core
