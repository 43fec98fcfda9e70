#pragma once

#include <string_view>

#include "daemon/config_sources.hpp"
#include "daemon/signal_watch.hpp"
#include "net/server.hpp"
#include "util/log.hpp"

namespace merlinbridge::daemon {

/// The gateway process from start-up to exit: its phases, and the signals that change them. The first SIGTERM
/// or SIGINT begins the graceful shutdown, further ones have no effect. SIGHUP reloads the platform's file,
/// in every phase. Everything runs on the event loop's one strand. Timers refer to the daemon, which owns the
/// loop and thus outlives them.
class Daemon {
 public:
  /// In order; each phase is followed only by the next one. enter() implements all transitions.
  enum class Phase {
    starting,     ///< Sockets are open, no client is accepted. Ends with run().
    serving,      ///< Ready; clients are accepted. Ends with SIGTERM or SIGINT.
    draining,     ///< Not ready; every request that arrives is answered. Lasts OperatorConfig::acceptFor.
    closingIdle,  ///< Idle connections are closed, requests in flight are answered. Ends when all of them
                  ///< are answered, or at the deadline.
    stopped       ///< The event loop stops.
  };

  /// Reads the platform's configuration and binds the listen address. The arguments must outlive the daemon.
  /// Throws config::ConfigError, std::invalid_argument for an invalid address, and the errors of socket
  /// calls.
  Daemon(const ConfigSources& sources, const config::OperatorConfig& operatorConfig, SignalWatch& signals,
         Log& log);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  /// Later signals are kept pending by the SignalWatch.
  ~Daemon();

  /// Serves until SIGTERM or SIGINT and then shuts down gracefully. To be called once.
  void run();

 private:
  config::GatewayConfig readInitialConfig();
  void handleSignal(Signal signal);
  /// Reads the platform's file and applies its addresses of discovery and the counter service. `retry`: 0 for
  /// the signal itself, then counted up to OperatorConfig::reloadRetries.
  void reload(int retry);
  void rejectReload(int retry, std::string_view reason);
  /// Enters a later phase and performs its first actions. Has no effect for the current or an earlier phase.
  void enter(Phase phase);
  void beginDraining();
  /// Called by a timer in the phase `closingIdle`: closes connections that have become idle and ends the
  /// phase when the shutdown is complete or its time is up.
  void checkShutdown();
  /// Whether every request is answered, and every client has closed its connection or had time to read the
  /// response.
  bool shutdownComplete(TimePoint now);

  const ConfigSources& sources_;
  const config::OperatorConfig operatorConfig_;
  Log& log_;
  const net::SystemClock clock_;
  Duration longestDeadline_{};  ///< The longest deadline of all configured methods.
  net::EventLoop loop_;
  SignalWatch& signals_;  ///< Signals that arrive before run() are handled by run().
  net::Server server_;
  Phase phase_ = Phase::starting;
  core::DeadlineQueue::Handle reloadTimer_{};    ///< For the next reload retry, if any.
  TimePoint reloadWarnedAt_{};                   ///< Time of the last config_rejected; TimePoint{}: none yet.
  TimePoint noTrafficSince_ = TimePoint::max();  ///< In the phase closingIdle; max(): there is traffic.
  TimePoint answerDeadline_{};  ///< From the phase draining on: when all requests must be answered.
};

}  // namespace merlinbridge::daemon
