#pragma once

namespace merlinbridge::http {

// HTTP status codes (RFC 9110, section 15) that the parser treats specially or reports.
inline constexpr int kSwitchingProtocols = 101;
inline constexpr int kNoContent = 204;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kHeaderFieldsTooLarge = 431;

}  // namespace merlinbridge::http
