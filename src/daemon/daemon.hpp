#pragma once

#include <string_view>

#include "daemon/config_sources.hpp"
#include "daemon/signal_watch.hpp"
#include "net/server.hpp"
#include "util/log.hpp"

namespace merlinbridge::daemon {

/// The gateway process from its configuration to its exit: the phases, and the signals that move it through
/// them. SIGTERM and SIGINT begin the graceful shutdown, further ones have no effect; SIGHUP reads the
/// platform's file again, in every phase. All of it runs on the event loop's one strand; timers refer to the
/// daemon, which owns the loop and so outlives them.
class Daemon {
 public:
  /// In their order; each gives way to the next one only. `enter()` has all transitions.
  enum class Phase {
    starting,     ///< Sockets are open, no client is accepted. Until run().
    serving,      ///< Ready; clients are accepted. Until SIGTERM or SIGINT.
    draining,     ///< Not ready; all that comes is answered. For OperatorConfig::acceptFor.
    closingIdle,  ///< Idle connections are closed, requests in flight are answered. Until all is, or time is
                  ///< up.
    stopped       ///< The event loop ends.
  };

  /// Reads the platform's configuration and binds the address. The arguments must outlive the daemon. Throws
  /// config::ConfigError, std::invalid_argument for an address that is none, and what the sockets throw.
  Daemon(const ConfigSources& sources, const config::OperatorConfig& operatorConfig, SignalWatch& signals,
         Log& log);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  /// Signals that come from here on are kept by the SignalWatch.
  ~Daemon();

  /// Serves until SIGTERM or SIGINT, and until what was accepted is answered. To be called once.
  void run();

 private:
  config::GatewayConfig readAtStart();
  void handleSignal(Signal signal);
  /// Reads the platform's file and moves discovery and the counter service to its addresses. `retry`: 0 at
  /// the signal, then counted up to OperatorConfig::reloadRetries.
  void reload(int retry);
  void rejectReload(int retry, std::string_view reason);
  /// Enters a later phase and does what it begins with; the present phase or an earlier one has no effect.
  void enter(Phase phase);
  void beginDraining();
  /// Timer of the phase closingIdle: closes what has become idle and ends the phase when that is due.
  void checkShutdown();
  /// Whether every request has its answer, and every client has closed or had time to read it.
  bool shutdownComplete(TimePoint now);

  const ConfigSources& sources_;
  const config::OperatorConfig operatorConfig_;
  Log& log_;
  const net::SystemClock clock_;
  Duration longestDeadline_{};  ///< Of all methods of the platform's configuration.
  net::EventLoop loop_;
  SignalWatch& signals_;  ///< Signals that come before run() are handled by it.
  net::Server server_;
  Phase phase_ = Phase::starting;
  core::DeadlineQueue::Handle reloadTimer_{};    ///< Of the next retry of a reload, if one is due.
  TimePoint reloadWarnedAt_{};                   ///< Of the last config_rejected; the origin: none yet.
  TimePoint noTrafficSince_ = TimePoint::max();  ///< In phase closingIdle; max: there is traffic.
  TimePoint answerDeadline_{};                   ///< From draining on: all requests are answered by then.
};

}  // namespace merlinbridge::daemon
