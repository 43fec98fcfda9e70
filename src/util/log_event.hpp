#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

/// The catalogue of log events: the name, level, message and field keys of each. They are defined only here.
/// docs/on-call.md has one entry for each event; tests/log_event_test.cpp compares that page and the logging
/// calls with this table. util/log.hpp formats and writes the lines.
namespace merlinbridge {

/// The severity of a log line, lowest first. A log writes the lines of its minimum level and above.
enum class LogLevel { debug, info, warning, error };

/// The names of the levels in log lines, in the setting [log] level and in GW_LOG_LEVEL. Indexed by LogLevel.
inline constexpr std::array<std::pair<std::string_view, LogLevel>, 4> kLogLevelNames{
    {{"debug", LogLevel::debug},
     {"info", LogLevel::info},
     {"warning", LogLevel::warning},
     {"error", LogLevel::error}}};

/// The level's name in a log line.
constexpr std::string_view nameOf(LogLevel level) {
  return kLogLevelNames[static_cast<std::size_t>(level)].first;
}

/// The level with this name, or nothing if there is none.
constexpr std::optional<LogLevel> parseLogLevel(std::string_view text) {
  for (const auto& [name, level] : kLogLevelNames)
    if (name == text) return level;
  return std::nullopt;
}

/// The events that a gateway logs. Each enumerator is the event's name in camel case.
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
  discoverySlow,
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
  clientRequestsRefused,
  clientConnectionsEnded,
  clientsOverdue,
  bufferMemoryExhausted,
  memoryWatermark,
  systemCallFailed,
  systemCallFailuresTotal,
  eventLoopStalled,
  eventLoopStallsTotal,
  logLinesDropped
};

/// The catalogue entry of an event: what all its log lines have in common.
struct LogEventInfo {
  LogEvent event;
  /// Must not change between releases, because operators match on it.
  std::string_view name;
  LogLevel level;
  /// May change between releases.
  std::string_view message;
  /// The keys of the fields, in the order in which they appear in the line, separated by spaces.
  std::string_view fields;
};

/// The catalogue, indexed by LogEvent.
inline constexpr std::array kLogEvents{
    LogEventInfo{LogEvent::starting, "starting", LogLevel::info, "configuration read, about to listen",
                 "gateway listen known_hosts"},
    LogEventInfo{LogEvent::ready, "ready", LogLevel::info, "accepting clients", ""},
    LogEventInfo{LogEvent::draining, "draining", LogLevel::info,
                 "graceful shutdown: not ready, still answering requests", ""},
    LogEventInfo{LogEvent::closingIdleConnections, "closing_idle_connections", LogLevel::info,
                 "closing idle client connections, finishing requests in flight", "unanswered_requests"},
    LogEventInfo{LogEvent::stopped, "stopped", LogLevel::info, "shutdown complete", ""},
    LogEventInfo{LogEvent::startRetried, "start_retried", LogLevel::warning, "start-up step failed, retrying",
                 "step error"},
    LogEventInfo{LogEvent::fatalError, "fatal_error", LogLevel::error,
                 "merlinbridge cannot start or continue", "step error"},
    LogEventInfo{LogEvent::settingRenamed, "setting_renamed", LogLevel::warning,
                 "a setting was given under its old name", "detail"},
    LogEventInfo{LogEvent::configReloaded, "config_reloaded", LogLevel::info, "configuration reloaded",
                 "discovery counter"},
    LogEventInfo{LogEvent::configRejected, "config_rejected", LogLevel::warning,
                 "configuration rejected, keeping the previous one", "error retry"},
    LogEventInfo{LogEvent::configRetryFailed, "config_retry_failed", LogLevel::debug,
                 "configuration still invalid, keeping the previous one", "error retry"},
    LogEventInfo{LogEvent::configInvalid, "config_invalid", LogLevel::error,
                 "platform configuration is invalid", "error"},
    LogEventInfo{LogEvent::operatorConfigInvalid, "operator_config_invalid", LogLevel::error,
                 "operator configuration is invalid", "error"},
    LogEventInfo{LogEvent::discoveryUnreachable, "discovery_unreachable", LogLevel::warning,
                 "discovery unreachable, keeping the last endpoint list", "generation"},
    LogEventInfo{LogEvent::discoverySlow, "discovery_slow", LogLevel::warning,
                 "endpoint list arrives slowly, keeping the last one until it is complete",
                 "generation received_bytes elapsed_ms"},
    LogEventInfo{LogEvent::discoveryRestored, "discovery_restored", LogLevel::info,
                 "discovery reachable again", "generation"},
    LogEventInfo{LogEvent::endpointListInvalid, "endpoint_list_invalid", LogLevel::debug,
                 "endpoint list from discovery cannot be parsed", "error"},
    LogEventInfo{LogEvent::endpointAddressInvalid, "endpoint_address_invalid", LogLevel::warning,
                 "host address from discovery cannot be parsed, no attempts are sent to it", "host error"},
    LogEventInfo{LogEvent::endpointTableFull, "endpoint_table_full", LogLevel::info,
                 "endpoint table full, host ignored", "host"},
    LogEventInfo{LogEvent::counterUnreachable, "counter_unreachable", LogLevel::info,
                 "counter service unreachable: using local quota share", ""},
    LogEventInfo{LogEvent::counterRestored, "counter_restored", LogLevel::info,
                 "counter service reachable: sharing quotas again", ""},
    LogEventInfo{LogEvent::loadSheddingStarted, "load_shedding_started", LogLevel::info,
                 "no host capacity: shedding load, lowest priority first", ""},
    LogEventInfo{LogEvent::loadSheddingStopped, "load_shedding_stopped", LogLevel::info,
                 "host capacity available: no longer shedding load", ""},
    LogEventInfo{LogEvent::attemptStarted, "attempt_started", LogLevel::debug, "attempt started",
                 "request request_number attempt host"},
    LogEventInfo{LogEvent::attemptEnded, "attempt_ended", LogLevel::debug, "attempt ended",
                 "request_number attempt host outcome error"},
    LogEventInfo{LogEvent::requestAnswered, "request_answered", LogLevel::debug, "request answered",
                 "request status written"},
    LogEventInfo{LogEvent::requestRejected, "request_rejected", LogLevel::debug, "request rejected",
                 "request status"},
    LogEventInfo{LogEvent::requestFailed, "request_failed", LogLevel::debug, "request failed",
                 "request status"},
    LogEventInfo{LogEvent::requestDropped, "request_dropped", LogLevel::warning,
                 "connection closed before the request was answered", "request error"},
    LogEventInfo{LogEvent::responseIncomplete, "response_incomplete", LogLevel::info,
                 "connection closed before the response was written completely", "request error"},
    LogEventInfo{LogEvent::clientDisconnected, "client_disconnected", LogLevel::debug,
                 "client disconnected before its request was answered", "request seen_as"},
    LogEventInfo{LogEvent::clientRequestsRefused, "client_requests_refused", LogLevel::info,
                 "requests refused without asking a host", "reason request since_last_line"},
    LogEventInfo{LogEvent::clientConnectionsEnded, "client_connections_ended", LogLevel::info,
                 "client connections ended since the last line of this reason",
                 "reason connections responses interim_responses refusals"},
    LogEventInfo{LogEvent::clientsOverdue, "clients_overdue", LogLevel::info,
                 "clients wait to be accepted, stalled requests give way early",
                 "connections incomplete lingering"},
    LogEventInfo{LogEvent::bufferMemoryExhausted, "buffer_memory_exhausted", LogLevel::warning,
                 "no buffer memory left, clients that wait longest give way",
                 "used_kb limit_kb waiting_clients"},
    LogEventInfo{LogEvent::memoryWatermark, "memory_watermark", LogLevel::info,
                 "resident memory has passed another eighth of its limit",
                 "peak_kb limit_kb buffers_kb clients"},
    LogEventInfo{LogEvent::systemCallFailed, "system_call_failed", LogLevel::warning, "system call failed",
                 "call error action since_last_line"},
    LogEventInfo{LogEvent::systemCallFailuresTotal, "system_call_failures_total", LogLevel::info,
                 "failed system calls since start", "call error count"},
    LogEventInfo{LogEvent::eventLoopStalled, "event_loop_stalled", LogLevel::warning,
                 "event loop stalled, timers fired late", "late_ms since_last_line"},
    LogEventInfo{LogEvent::eventLoopStallsTotal, "event_loop_stalls_total", LogLevel::info,
                 "event loop stalls since start", "count"},
    LogEventInfo{LogEvent::logLinesDropped, "log_lines_dropped", LogLevel::warning,
                 "log lines dropped, standard error did not accept them", "count"},
};

/// Whether the catalogue has every event exactly once, in the order of LogEvent.
constexpr bool logEventsAreOrdered() {
  for (std::size_t index = 0; index < kLogEvents.size(); ++index)
    if (static_cast<std::size_t>(kLogEvents[index].event) != index) return false;
  return kLogEvents.size() == static_cast<std::size_t>(LogEvent::logLinesDropped) + 1;
}
static_assert(logEventsAreOrdered());

/// The catalogue entry of an event.
constexpr const LogEventInfo& infoOf(LogEvent event) {
  return kLogEvents[static_cast<std::size_t>(event)];
}

}  // namespace merlinbridge
