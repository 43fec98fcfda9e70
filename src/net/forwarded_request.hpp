#pragma once

#include <string>
#include <string_view>

#include "http/message.hpp"
#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// Writes a client's request as it is forwarded to a host: the same method, target, end-to-end header fields
/// and body, with a Host, Req-Deadline-Ms and Content-Length of the gateway's own. `hostAddress`:
/// "host:port". `timeLeft`: until the attempt is abandoned. `message` is overwritten; its memory is used
/// again.
void writeForwardedRequest(const http::Message& request, std::string_view hostAddress, Duration timeLeft,
                           std::string& message);

}  // namespace merlinbridge::net
