#include "net/client/client_connection_log.hpp"

#include <cerrno>
#include <string>

#include "net/fault_log.hpp"

namespace merlinbridge::net {
namespace {

constexpr std::string_view kTimedOut = "timed out";
constexpr std::string_view kOutOfMemory = "no buffer memory";

bool clientDisconnected(const ClientConnectionEnd& end) {
  if (end.cause != ClientConnectionEnd::Cause::peerOrFault) return false;
  return end.endOfStream || end.error == 0 || end.error == ECONNRESET;
}

// If neither an end of stream was read nor an error seen, the gateway noticed the end while pipelined data
// was still unread.
std::string_view seenAs(const ClientConnectionEnd& end) {
  if (end.endOfStream) return "end_of_stream";
  return end.error != 0 ? "reset" : "end_behind_pipelined_data";
}

std::string_view nameOf(WriteProgress progress) {
  switch (progress) {
    case WriteProgress::complete:
      return "complete";
    case WriteProgress::partial:
      return "partly";
    case WriteProgress::connectionClosed:
      break;
  }
  return "connection_closed";
}

std::string incompleteReason(const ClientConnectionEnd& end) {
  if (end.cause == ClientConnectionEnd::Cause::timeout) return std::string(kTimedOut);
  if (end.cause == ClientConnectionEnd::Cause::memory) return std::string(kOutOfMemory);
  return end.error != 0 ? errorText(end.error) : "client disconnected";
}

}  // namespace

void logRequestAnswered(Log& log, std::string_view requestId, int status, WriteProgress progress) {
  if (!log.enabled(LogEvent::requestAnswered)) return;
  log(LogEvent::requestAnswered, LogField{"request", requestId}, LogField{"status", status},
      LogField{"written", nameOf(progress)});
}

void logUnansweredRequest(Log& log, std::string_view requestId, const ClientConnectionEnd& end) {
  if (!clientDisconnected(end)) {
    log(LogEvent::requestDropped, LogField{"request", requestId},
        LogField{"error", end.error != 0 ? errorText(end.error) : std::string(kTimedOut)});
  } else if (log.enabled(LogEvent::clientDisconnected)) {
    log(LogEvent::clientDisconnected, LogField{"request", requestId}, LogField{"seen_as", seenAs(end)});
  }
}

void logIncompleteResponse(Log& log, std::string_view requestId, const ClientConnectionEnd& end) {
  log(LogEvent::responseIncomplete, LogField{"request", requestId}, LogField{"error", incompleteReason(end)});
}

}  // namespace merlinbridge::net
