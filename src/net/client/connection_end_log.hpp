#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "policy_api/time.hpp"
#include "util/log.hpp"

namespace merlinbridge::net {

/// Why a client's connection ended.
enum class ConnectionEndReason {
  clientClosed,         ///< The client closed it.
  clientReset,          ///< The client or the network reset it.
  systemCallFailed,     ///< A system call on it failed for good.
  closedAfterResponse,  ///< A response said that it closes: the client's wish, a refusal, or a shutdown.
  idleTimeout,          ///< No request came in time.
  evicted,              ///< Another client needed its place.
  shutdown,             ///< It was idle when the gateway shut down.
  responseTimeout,      ///< The client did not read its response in time.
  noMemory              ///< Its buffer was needed for another connection.
};

/// What a connection has carried.
struct ConnectionCounts {
  std::uint64_t responses = 0;         ///< Final responses, refusals included.
  std::uint64_t interimResponses = 0;  ///< Responses 100 (Continue).
  std::uint64_t refusals = 0;          ///< Requests refused without asking a host.
};

/// Counts the client connections that have ended and what they carried, by reason. The first of each reason
/// is logged at once, later ones in at most one line per reason every ten seconds. Used on the event loop's
/// strand.
class ConnectionEndLog {
 public:
  /// `log` must outlive this object.
  explicit ConnectionEndLog(Log& log) : log_(log) {}

  /// Counts one connection.
  void record(TimePoint now, ConnectionEndReason reason, const ConnectionCounts& counts);
  /// Logs what has been counted since the last line of each reason. To be called before the process exits.
  void logRest();

 private:
  static constexpr std::size_t kReasons = static_cast<std::size_t>(ConnectionEndReason::noMemory) + 1;

  struct Totals {
    std::uint64_t connections = 0;
    ConnectionCounts counts;
    TimePoint loggedAt{};  ///< TimePoint{}: never.
  };

  void logLine(ConnectionEndReason reason, Totals& totals);

  Log& log_;
  std::array<Totals, kReasons> totals_;  ///< Since the last line. Indexed by ConnectionEndReason.
};

}  // namespace merlinbridge::net
