#pragma once

#include <string_view>

#include "daemon/config_sources.hpp"
#include "daemon/signal_watch.hpp"
#include "net/server.hpp"
#include "util/log.hpp"

namespace merlinbridge::daemon {

/// The gateway process from start to exit: its phases, and the signals that move it through them.
class Daemon {
 public:
  /// A phase only ever gives way to a later one.
  enum class Phase {
    starting,
    serving,    ///< Ready; clients are accepted.
    draining,   ///< After SIGTERM: not ready, all that comes is still answered.
    finishing,  ///< Idle connections are closed, requests in flight are answered.
    stopped
  };

  /// Reads the platform's configuration and binds the address. The arguments must outlive the daemon. Throws
  /// config::ConfigError, std::invalid_argument for an address that is none, and what the sockets throw.
  Daemon(const ConfigSources& sources, const config::OperatorConfig& operatorConfig, SignalWatch& signals,
         Log& log);
  Daemon(const Daemon&) = delete;
  Daemon& operator=(const Daemon&) = delete;
  ~Daemon();

  /// Serves until SIGTERM or SIGINT, and until what was taken is answered.
  void run();

 private:
  config::GatewayConfig readAtStart();
  void handleSignal(Signal signal);
  void reload(int retry);
  void rejectReload(int retry, std::string_view reason);
  void enter(Phase phase);
  void beginDraining();
  void checkFinished();

  const ConfigSources& sources_;
  const config::OperatorConfig operatorConfig_;
  Log& log_;
  const net::SystemClock clock_;
  Duration longestDeadline_{};
  net::EventLoop loop_;
  /// Signals that come before the file is read are handled once it is served.
  SignalWatch& signals_;
  net::Server server_;
  Phase phase_ = Phase::starting;
  core::DeadlineQueue::Ticket reloadTimer_{};
  TimePoint reloadWarnedAt_{};
  TimePoint quietSince_ = TimePoint::max();
  TimePoint answerBy_{};  ///< While it shuts down.
};

}  // namespace merlinbridge::daemon
