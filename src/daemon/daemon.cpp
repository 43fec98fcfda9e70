#include "daemon/daemon.hpp"

#include <algorithm>
#include <stdexcept>

namespace merlinbridge::daemon {
namespace {

// Of the time until the process may be killed: what is left for writing the last answers.
constexpr Duration kWriteReserve = std::chrono::milliseconds(150);
// A client has this part of it to read its last answer and close, and is looked at so many times in it.
constexpr int kCloseParts = 3, kChecksPerReserve = 20;
// So long, in reserves, nothing may come before the process ends with connections open.
constexpr int kQuietReserves = 2;
// A file that cannot be read may be half written: it is read again after so long, each wait twice the one
// before. All retries are over well before the change counts as notified.
constexpr Duration kFirstReloadRetry = std::chrono::milliseconds(50);
constexpr Duration kReloadWarningInterval = std::chrono::seconds(10);

}  // namespace

Daemon::Daemon(const ConfigSources& sources, const config::OperatorConfig& operatorConfig,
               SignalWatch& signals, Log& log)
    : sources_(sources),
      operatorConfig_(operatorConfig),
      log_(log),
      loop_(log, clock_),
      signals_(signals),
      server_(loop_, readAtStart()) {}

Daemon::~Daemon() {
  signals_.stopDelivery();
}

void Daemon::run() {
  enter(Phase::serving);
  signals_.deliverTo(loop_, [this](Signal signal) { handleSignal(signal); });
  loop_.endTurn();
  loop_.run([this] {
    server_.recoverMissedReadiness();
    signals_.check();
  });
}

config::GatewayConfig Daemon::readAtStart() {
  config::GatewayConfig config = sources_.readPlatform();
  loop_.coalesceTimersWithin(config.step);
  longestDeadline_ = config.longestDeadline;
  log_(LogEvent::starting, LogField{"gateway", config.name}, LogField{"listen", config.listen},
       LogField{"known_hosts", config.known.entries.size()});
  return config;
}

void Daemon::handleSignal(Signal signal) {
  if (signal == Signal::terminate) return enter(Phase::draining);
  if (reloadTimer_) loop_.deadlines.cancel(reloadTimer_);
  reload(0);
}

// Only the addresses of discovery and the counter service change while it serves; all else holds from the
// next start on.
void Daemon::reload(int retry) {
  reloadTimer_ = {};
  try {
    const config::GatewayConfig config = sources_.readPlatform();
    server_.moveTo(config.discovery, config.counter);
    log_(LogEvent::configReloaded, LogField{"discovery", config.discovery},
         LogField{"counter", std::string_view(config.counter.empty() ? "none" : config.counter)});
  } catch (const std::runtime_error& e) {
    rejectReload(retry, e.what());
  } catch (const std::invalid_argument& e) {
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
  reloadTimer_ = loop_.deadlines.add(now + kFirstReloadRetry * (1 << retry),
                                     [this, retry](TimePoint) { reload(retry + 1); });
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
    case Phase::finishing:
      server_.closeIdle();
      log_(LogEvent::closingIdleConnections, LogField{"unanswered_requests", server_.unanswered()});
      checkFinished();
      break;
    case Phase::stopped:
      server_.discard();
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
  answerBy_ = loop_.now() + std::max(acceptFor, answerFor);
  server_.leave(answerBy_);
  log_(LogEvent::draining);
  loop_.deadlines.add(loop_.now() + acceptFor, [this](TimePoint) { enter(Phase::finishing); });
}

// Bounded for a client that never reads, stays idle for ever or stops in the middle of a request: the process
// may be killed soon. Who has its last answer gets a moment to read it and close, and who comes meanwhile is
// taken.
void Daemon::checkFinished() {
  const Duration closeTime = kWriteReserve / kCloseParts;
  const TimePoint now = loop_.now();
  if (now >= answerBy_ + closeTime) return enter(Phase::stopped);
  server_.closeIdle(closeTime);
  quietSince_ = server_.quiet() ? std::min(quietSince_, now) : TimePoint::max();
  const bool longQuiet = now - quietSince_ >= kQuietReserves * kWriteReserve;
  if (server_.quiet() && (server_.allClosed() || longQuiet) && server_.shut()) return enter(Phase::stopped);
  loop_.deadlines.add(now + kWriteReserve / kChecksPerReserve, [this](TimePoint) { checkFinished(); });
}

}  // namespace merlinbridge::daemon
