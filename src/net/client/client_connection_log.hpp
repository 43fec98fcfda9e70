#pragma once

#include <string_view>

#include "util/log.hpp"

namespace merlinbridge::net {

/// What ended a client's connection, as far as the gateway has seen.
struct ClientConnectionEnd {
  enum class Cause {
    peerOrFault,  ///< The client, the network, or a failed system call.
    timeout       ///< A timeout of the gateway.
  };

  Cause cause = Cause::peerOrFault;
  bool endOfStream = false;  ///< The client has ended its stream in good order.
  int error = 0;             ///< The errno that broke the connection; 0 if none did.
};

/// How much of an answer has been written when the call that writes it returns.
enum class WriteProgress { complete, partial, connectionClosed };

/// Logs request_answered. `requestId`, here and below: the client's Req-Id, empty if it gave none.
void logRequestAnswered(Log&, std::string_view requestId, int status, WriteProgress);
/// Logs the end of a connection whose request has had no answer: client_disconnected if the client left,
/// which it may, otherwise request_dropped.
void logUnansweredRequest(Log&, std::string_view requestId, const ClientConnectionEnd&);
/// Logs response_incomplete: the connection ended before the answer was written whole.
void logIncompleteResponse(Log&, std::string_view requestId, const ClientConnectionEnd&);

}  // namespace merlinbridge::net
