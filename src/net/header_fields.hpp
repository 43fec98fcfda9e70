#pragma once

#include <string_view>

/// Names of the header fields that the gateway reads or writes itself, as they stand on the wire. Names are
/// compared without regard to case.
namespace merlinbridge::net {

/// A client's name for its request; it goes with the request to the host, and into the log.
inline constexpr std::string_view kRequestIdField = "Req-Id";
/// How long the sender waits for the answer, in milliseconds.
inline constexpr std::string_view kRequestDeadlineField = "Req-Deadline-Ms";
inline constexpr std::string_view kHostField = "Host";
inline constexpr std::string_view kConnectionField = "Connection";
inline constexpr std::string_view kContentLengthField = "Content-Length";

}  // namespace merlinbridge::net
