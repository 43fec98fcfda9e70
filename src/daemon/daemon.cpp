#include "daemon/daemon.hpp"

#include <algorithm>
#include <stdexcept>

namespace merlinbridge::daemon {
namespace {

// The end of OperatorConfig::killedAfter, reserved for writing the last responses.
constexpr Duration kWriteReserve = std::chrono::milliseconds(150);
// Part of kWriteReserve: a client has this long to read its last response and to close the connection before
// the gateway closes it as idle.
constexpr Duration kClientCloseTimeout = kWriteReserve / 3;
// Interval between checks of whether the shutdown is complete.
constexpr Duration kShutdownCheckInterval = kWriteReserve / 20;
// After this long without traffic, the process stops even if client connections are open.
constexpr Duration kNoTrafficTimeout = 2 * kWriteReserve;
// A file that cannot be read may be half written, so it is read again after this delay, which doubles with
// each retry. All retries end well before the platform considers the change delivered.
constexpr Duration kFirstReloadRetry = std::chrono::milliseconds(50);
// Minimum interval between two config_rejected log lines; rejections in between are logged as
// config_retry_failed.
constexpr Duration kReloadWarningInterval = std::chrono::seconds(10);

constexpr Duration reloadRetryDelay(int retry) {
  return kFirstReloadRetry * (1 << retry);
}

}  // namespace

Daemon::Daemon(const ConfigSources& sources, const config::OperatorConfig& operatorConfig,
               SignalWatch& signals, Log& log)
    : sources_(sources),
      operatorConfig_(operatorConfig),
      log_(log),
      loop_(log, clock_),
      signals_(signals),
      server_(loop_, readInitialConfig()) {}

Daemon::~Daemon() {
  signals_.stopDelivery();
}

void Daemon::run() {
  enter(Phase::serving);
  signals_.deliverTo(loop_, [this](Signal signal) { handleSignal(signal); });
  loop_.endTurn();
  loop_.run([this] {
    server_.recoverMissedReadiness();
    server_.checkMemory();
    signals_.deliverPending();
  });
}

config::GatewayConfig Daemon::readInitialConfig() {
  config::GatewayConfig config = sources_.readPlatform();
  loop_.setTimerCoalescing(config.timerSlack);
  longestDeadline_ = config.longestDeadline;
  log_(LogEvent::starting, LogField{"gateway", config.name}, LogField{"listen", config.listenAddress},
       LogField{"known_hosts", config.knownEndpoints.entries.size()});
  return config;
}

void Daemon::handleSignal(Signal signal) {
  if (signal == Signal::terminate) return enter(Phase::draining);
  if (reloadTimer_) loop_.deadlines.cancel(reloadTimer_);
  reload(0);
}

// Only the addresses of discovery and the counter service change while the gateway runs; other settings take
// effect at the next start.
void Daemon::reload(int retry) {
  reloadTimer_ = {};
  try {
    const config::GatewayConfig config = sources_.readPlatform();
    server_.setAddresses(config.discoveryAddress, config.counterAddress);
    log_(LogEvent::configReloaded, LogField{"discovery", config.discoveryAddress},
         LogField{"counter",
                  std::string_view(config.counterAddress.empty() ? "none" : config.counterAddress)});
  } catch (const std::runtime_error& e) {  // config::ConfigError and std::system_error
    rejectReload(retry, e.what());
  } catch (const std::invalid_argument& e) {  // an invalid address
    rejectReload(retry, e.what());
  }
}

void Daemon::rejectReload(int retry, std::string_view reason) {
  const TimePoint now = loop_.now();
  const bool warn =
      retry == 0 && (reloadWarnedAt_ == TimePoint{} || now - reloadWarnedAt_ >= kReloadWarningInterval);
  if (warn) reloadWarnedAt_ = now;
  log_(warn ? LogEvent::configRejected : LogEvent::configRetryFailed, LogField{"error", reason},
       LogField{"retry", retry});
  if (retry >= operatorConfig_.reloadRetries) return;
  reloadTimer_ =
      loop_.deadlines.add(now + reloadRetryDelay(retry), [this, retry](TimePoint) { reload(retry + 1); });
}

void Daemon::enter(Phase phase) {
  if (phase <= phase_) return;
  phase_ = phase;
  switch (phase) {
    case Phase::starting:
      break;
    case Phase::serving:
      server_.serve();
      log_(LogEvent::ready);
      break;
    case Phase::draining:
      beginDraining();
      break;
    case Phase::closingIdle:
      server_.closeIdle();
      log_(LogEvent::closingIdleConnections, LogField{"unanswered_requests", server_.unanswered()});
      checkShutdown();
      break;
    case Phase::stopped:
      server_.discardUnread();
      server_.logRest();
      loop_.faults.logTotals();
      log_(LogEvent::stopped);
      loop_.io.stop();
      break;
  }
}

void Daemon::beginDraining() {
  const Duration acceptFor = operatorConfig_.acceptFor;
  const Duration answerFor =
      std::min(acceptFor + longestDeadline_, operatorConfig_.killedAfter) - kWriteReserve;
  answerDeadline_ = loop_.now() + std::max(acceptFor, answerFor);
  server_.startDraining(answerDeadline_);
  log_(LogEvent::draining);
  loop_.deadlines.add(loop_.now() + acceptFor, [this](TimePoint) { enter(Phase::closingIdle); });
}

// The shutdown ends shortly after answerDeadline_ at the latest, since the process may be killed soon after:
// clients that never read, stay idle or stop in the middle of a request cannot delay it. From answerDeadline_
// on, every client gets its final response and an end of stream, so that the exit ends no request. Clients
// that connect in the meantime are still accepted.
void Daemon::checkShutdown() {
  const TimePoint now = loop_.now();
  const bool isTimeUp = now >= answerDeadline_;
  if (isTimeUp) server_.refuseIncompleteRequests();
  server_.closeIdle(isTimeUp ? Duration{0} : kClientCloseTimeout);
  if (now >= answerDeadline_ + kClientCloseTimeout) return enter(Phase::stopped);
  if (shutdownComplete(now)) return enter(Phase::stopped);
  loop_.deadlines.add(now + kShutdownCheckInterval, [this](TimePoint) { checkShutdown(); });
}

bool Daemon::shutdownComplete(TimePoint now) {
  noTrafficSince_ = server_.allAnswered() ? std::min(noTrafficSince_, now) : TimePoint::max();
  if (!server_.allAnswered()) return false;
  const bool clientsDone = server_.allClosed() || now - noTrafficSince_ >= kNoTrafficTimeout;
  return clientsDone && server_.stopAccepting();
}

}  // namespace merlinbridge::daemon
