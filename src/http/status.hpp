#pragma once

namespace merlinbridge::http {

// Status codes of HTTP (RFC 9110, section 15) that the reading of messages depends on.
inline constexpr int kSwitchingProtocols = 101;
inline constexpr int kNoContent = 204;
inline constexpr int kNotModified = 304;
inline constexpr int kBadRequest = 400;
inline constexpr int kContentTooLarge = 413;
inline constexpr int kHeaderFieldsTooLarge = 431;

}  // namespace merlinbridge::http
