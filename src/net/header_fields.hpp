#pragma once

#include <string_view>

/// Names of the header fields that the gateway reads or writes itself. Field names are case-insensitive.
namespace merlinbridge::net {

/// The request identifier that the client chose; forwarded to the host and logged.
inline constexpr std::string_view kRequestIdField = "Req-Id";
/// How long the sender waits for the response, in milliseconds.
inline constexpr std::string_view kRequestDeadlineField = "Req-Deadline-Ms";
inline constexpr std::string_view kHostField = "Host";
inline constexpr std::string_view kConnectionField = "Connection";
inline constexpr std::string_view kContentLengthField = "Content-Length";

}  // namespace merlinbridge::net
