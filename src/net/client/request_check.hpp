#pragma once

#include <optional>

#include "gateway_core/gateway_core.hpp"
#include "gateway_core/request_parser.hpp"
#include "http/message.hpp"
#include "net/client/client_response.hpp"

namespace merlinbridge::net {

/// What the gateway knows of a request before the engine decides on it.
struct RequestCheck {
  core::ParsedRequest parsed;           ///< To be used only if there is no refusal.
  std::optional<TextResponse> refusal;  ///< The final response to a request that is not forwarded.
};

/// Checks a request whose head is complete. All but the form of the body can be known from the head, so a
/// client that waits to be asked for its body gets a refusal without sending it. `arrivedAt`: when the
/// request arrived at this machine, from which its deadline is counted; a request whose deadline is over is
/// refused.
RequestCheck checkRequest(const http::Message& message, core::GatewayCore& core, TimePoint now,
                          TimePoint arrivedAt);

}  // namespace merlinbridge::net
