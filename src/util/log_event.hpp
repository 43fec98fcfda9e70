#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace merlinbridge {

enum class Level { debug, info, warning, error };

/// Every event that a gateway logs. The table below holds the name, level and message of each;
/// docs/on-call.md has an entry for each, and a test compares the two.
enum class LogEvent {
  starting,
  ready,
  draining,
  closingIdleConnections,
  stopped,
  startRetried,
  fatalError,
  settingRenamed,
  configReloaded,
  configRejected,
  configRetryFailed,
  configInvalid,
  operatorConfigInvalid,
  discoveryUnreachable,
  discoveryRestored,
  endpointListInvalid,
  endpointAddressInvalid,
  endpointTableFull,
  counterUnreachable,
  counterRestored,
  loadSheddingStarted,
  loadSheddingStopped,
  attemptStarted,
  attemptEnded,
  requestAnswered,
  requestRejected,
  requestFailed,
  requestDropped,
  responseIncomplete,
  clientDisconnected,
  systemCallFailed,
  systemCallFailuresTotal,
  eventLoopStalled,
  eventLoopStallsTotal,
  logLinesDropped
};

/// What a log line of an event consists of besides its fields.
struct LogEventInfo {
  LogEvent event;
  std::string_view name;  ///< Stays the same from release to release; operators match on it.
  Level level;
  std::string_view message;  ///< May change between releases.
};

inline constexpr std::array kLogEvents{
    LogEventInfo{LogEvent::starting, "starting", Level::info, "configuration read, listening soon"},
    LogEventInfo{LogEvent::ready, "ready", Level::info, "accepting clients"},
    LogEventInfo{LogEvent::draining, "draining", Level::info,
                 "graceful shutdown: not ready, still answering requests"},
    LogEventInfo{LogEvent::closingIdleConnections, "closing_idle_connections", Level::info,
                 "closing idle client connections, finishing requests in flight"},
    LogEventInfo{LogEvent::stopped, "stopped", Level::info, "shutdown complete"},
    LogEventInfo{LogEvent::startRetried, "start_retried", Level::warning, "start-up step failed, retrying"},
    LogEventInfo{LogEvent::fatalError, "fatal_error", Level::error, "merlinbridge cannot start or go on"},
    LogEventInfo{LogEvent::settingRenamed, "setting_renamed", Level::warning,
                 "a setting was given under its old name"},
    LogEventInfo{LogEvent::configReloaded, "config_reloaded", Level::info, "configuration reloaded"},
    LogEventInfo{LogEvent::configRejected, "config_rejected", Level::warning,
                 "configuration rejected, keeping the previous one"},
    LogEventInfo{LogEvent::configRetryFailed, "config_retry_failed", Level::debug,
                 "configuration still invalid, keeping the previous one"},
    LogEventInfo{LogEvent::configInvalid, "config_invalid", Level::error,
                 "platform configuration is invalid"},
    LogEventInfo{LogEvent::operatorConfigInvalid, "operator_config_invalid", Level::error,
                 "operator configuration is invalid"},
    LogEventInfo{LogEvent::discoveryUnreachable, "discovery_unreachable", Level::warning,
                 "discovery unreachable, keeping the last endpoint list"},
    LogEventInfo{LogEvent::discoveryRestored, "discovery_restored", Level::info, "discovery reachable again"},
    LogEventInfo{LogEvent::endpointListInvalid, "endpoint_list_invalid", Level::debug,
                 "endpoint list from discovery cannot be parsed"},
    LogEventInfo{LogEvent::endpointAddressInvalid, "endpoint_address_invalid", Level::warning,
                 "host address from discovery cannot be parsed, no attempts are sent to it"},
    LogEventInfo{LogEvent::endpointTableFull, "endpoint_table_full", Level::info,
                 "endpoint table full, host ignored"},
    LogEventInfo{LogEvent::counterUnreachable, "counter_unreachable", Level::info,
                 "counter service unreachable: using local quota share"},
    LogEventInfo{LogEvent::counterRestored, "counter_restored", Level::info,
                 "counter service reachable: sharing quotas again"},
    LogEventInfo{LogEvent::loadSheddingStarted, "load_shedding_started", Level::info,
                 "no host capacity: shedding load, lowest priority first"},
    LogEventInfo{LogEvent::loadSheddingStopped, "load_shedding_stopped", Level::info,
                 "host capacity available: no longer shedding load"},
    LogEventInfo{LogEvent::attemptStarted, "attempt_started", Level::debug, "attempt started"},
    LogEventInfo{LogEvent::attemptEnded, "attempt_ended", Level::debug, "attempt ended"},
    LogEventInfo{LogEvent::requestAnswered, "request_answered", Level::debug, "request answered"},
    LogEventInfo{LogEvent::requestRejected, "request_rejected", Level::debug, "request rejected"},
    LogEventInfo{LogEvent::requestFailed, "request_failed", Level::debug, "request failed"},
    LogEventInfo{LogEvent::requestDropped, "request_dropped", Level::warning,
                 "connection closed before the request was answered"},
    LogEventInfo{LogEvent::responseIncomplete, "response_incomplete", Level::info,
                 "connection closed before the response was written completely"},
    LogEventInfo{LogEvent::clientDisconnected, "client_disconnected", Level::debug,
                 "client disconnected before its request was answered"},
    LogEventInfo{LogEvent::systemCallFailed, "system_call_failed", Level::warning, "system call failed"},
    LogEventInfo{LogEvent::systemCallFailuresTotal, "system_call_failures_total", Level::info,
                 "failed system calls since start"},
    LogEventInfo{LogEvent::eventLoopStalled, "event_loop_stalled", Level::warning,
                 "event loop stalled, timers fired late"},
    LogEventInfo{LogEvent::eventLoopStallsTotal, "event_loop_stalls_total", Level::info,
                 "event loop stalls since start"},
    LogEventInfo{LogEvent::logLinesDropped, "log_lines_dropped", Level::warning,
                 "log lines dropped, standard error did not accept them"},
};

/// Whether the table lists every event once, in the order of the enumeration.
constexpr bool logEventsAreOrdered() {
  for (std::size_t index = 0; index < kLogEvents.size(); ++index)
    if (static_cast<std::size_t>(kLogEvents[index].event) != index) return false;
  return kLogEvents.size() == static_cast<std::size_t>(LogEvent::logLinesDropped) + 1;
}
static_assert(logEventsAreOrdered());

constexpr const LogEventInfo& infoOf(LogEvent event) {
  return kLogEvents[static_cast<std::size_t>(event)];
}

/// The level's name as it stands in a log line.
constexpr std::string_view nameOf(Level level) {
  constexpr std::array<std::string_view, 4> kNames{"debug", "info", "warning", "error"};
  return kNames[static_cast<std::size_t>(level)];
}

}  // namespace merlinbridge
