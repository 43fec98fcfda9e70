#pragma once

#include <string_view>

#include "gateway_core/gateway_core.hpp"
#include "http/message.hpp"

namespace merlinbridge::net {

/// The outcome of an attempt from the host's complete response. Status 200 is `ok`. Statuses 503 and 504 with
/// "Srv-Declined: 1" are `rejected`: the host did not execute the request. Everything else is `error`: the
/// host may have executed it.
Outcome outcomeOf(const http::Message& message);

/// Extracts body, content type, billed units and the host's load report from a response. Missing load values
/// stay unset; values that are not finite numbers are read as 0. The views point into the response's buffer.
core::UpstreamResponse readUpstreamResponse(const http::Message& message);

/// The outcome's name in the log.
std::string_view nameOf(Outcome outcome);

}  // namespace merlinbridge::net
