#pragma once

#include <string_view>

#include "gateway_core/gateway_core.hpp"
#include "http/message.hpp"

namespace merlinbridge::net {

/// The outcome of an attempt that a host has answered, by the protocol's table: 200 is `ok`; 503 and 504 with
/// "Srv-Declined: 1" are `rejected`, the request has not run; everything else is an `error` and may have run.
Outcome outcomeOf(const http::Message& message);

/// Reads what an answer says besides its outcome: body, content type, billed units and the host's load
/// report. Figures that are missing or unreadable are left out. The views point into the answer's buffer.
core::UpstreamResponse readUpstreamResponse(const http::Message& message);

/// The outcome's name in log lines.
std::string_view nameOf(Outcome outcome);

}  // namespace merlinbridge::net
