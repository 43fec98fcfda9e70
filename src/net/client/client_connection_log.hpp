#pragma once

#include <string_view>

#include "util/log.hpp"

namespace merlinbridge::net {

/// What ended a client's connection, as observed by the gateway.
struct ClientConnectionEnd {
  enum class Cause {
    peerOrFault,  ///< The client, the network, or a failed system call.
    timeout,      ///< A timeout enforced by the gateway.
    memory        ///< Its buffer was needed for another connection.
  };

  Cause cause = Cause::peerOrFault;
  bool endOfStream = false;  ///< The client has ended its stream with a FIN.
  int error = 0;             ///< The errno that broke the connection; 0 if none did.
};

/// How much of a response has been written when the call that writes it returns.
enum class WriteProgress { complete, partial, connectionClosed };

/// Logs request_answered. `requestId`, here and below, is the client's Req-Id; empty if it sent none.
void logRequestAnswered(Log&, std::string_view requestId, int status, WriteProgress);
/// Logs the end of a connection whose request is unanswered: client_disconnected if the client disconnected,
/// which is no error, otherwise request_dropped.
void logUnansweredRequest(Log&, std::string_view requestId, const ClientConnectionEnd&);
/// Logs response_incomplete: the connection ended before the response was completely written.
void logIncompleteResponse(Log&, std::string_view requestId, const ClientConnectionEnd&);

}  // namespace merlinbridge::net
