#pragma once

#include <string>
#include <string_view>

#include "http/message.hpp"
#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// Writes a client's request as it is forwarded to a host: with the same method, target, end-to-end header
/// fields and body, but with Host, Req-Deadline-Ms and Content-Length set by the gateway. `hostAddress` is
/// "host:port"; `timeLeft` is the time until the attempt is abandoned. Overwrites `message`, reusing its
/// memory.
void writeForwardedRequest(const http::Message& request, std::string_view hostAddress, Duration timeLeft,
                           std::string& message);

}  // namespace merlinbridge::net
