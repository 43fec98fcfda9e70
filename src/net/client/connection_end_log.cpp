#include "net/client/connection_end_log.hpp"

namespace merlinbridge::net {
namespace {

// Minimum time between two log lines for the same reason.
constexpr Duration kLogInterval = std::chrono::seconds(10);

std::string_view textOf(ConnectionEndReason reason) {
  switch (reason) {
    case ConnectionEndReason::clientClosed:
      return "closed by the client";
    case ConnectionEndReason::clientReset:
      return "reset";
    case ConnectionEndReason::systemCallFailed:
      return "system call failed";
    case ConnectionEndReason::closedAfterResponse:
      return "closed after a response";
    case ConnectionEndReason::idleTimeout:
      return "idle timeout";
    case ConnectionEndReason::evicted:
      return "evicted";
    case ConnectionEndReason::shutdown:
      return "shutdown";
    case ConnectionEndReason::responseTimeout:
      return "response not read in time";
    case ConnectionEndReason::noMemory:
      break;
  }
  return "no buffer memory";
}

}  // namespace

void ConnectionEndLog::record(TimePoint now, ConnectionEndReason reason, const ConnectionCounts& counts) {
  Totals& totals = totals_[static_cast<std::size_t>(reason)];
  ++totals.connections;
  totals.counts.responses += counts.responses;
  totals.counts.interimResponses += counts.interimResponses;
  totals.counts.refusals += counts.refusals;
  if (totals.loggedAt != TimePoint{} && now - totals.loggedAt < kLogInterval) return;
  totals.loggedAt = now;
  logLine(reason, totals);
}

void ConnectionEndLog::logRest() {
  for (std::size_t index = 0; index < totals_.size(); ++index)
    if (totals_[index].connections > 0) logLine(static_cast<ConnectionEndReason>(index), totals_[index]);
}

void ConnectionEndLog::logLine(ConnectionEndReason reason, Totals& totals) {
  log_(LogEvent::clientConnectionsEnded, LogField{"reason", textOf(reason)},
       LogField{"connections", totals.connections}, LogField{"responses", totals.counts.responses},
       LogField{"interim_responses", totals.counts.interimResponses},
       LogField{"refusals", totals.counts.refusals});
  totals.connections = 0;
  totals.counts = {};
}

}  // namespace merlinbridge::net
