#include "emulator/gateway_process.hpp"

#include <algorithm>
#include <charconv>

namespace merlinbridge::emulator {
namespace {

using core::SlotRef;

/// The protocol's: for so long after SIGTERM a gateway still gets new requests.
constexpr Duration kAcceptAfterSigterm = std::chrono::milliseconds(700);
/// The protocol's: a process that drains is killed that long after it got its last request.
constexpr Duration kMaxDrainTime = std::chrono::seconds(3);
/// How long before it would be killed a process has answered everything.
constexpr Duration kDrainMargin = std::chrono::milliseconds(150);
/// How often a process that drains looks whether it has answered everything.
constexpr Duration kDrainPoll = kDrainMargin / 10;

}  // namespace

GatewayProcess::GatewayProcess(const GatewaySurroundings& surroundings, std::uint32_t number,
                               std::uint32_t zone, MakeGateway makeGateway)
    : surroundings_(surroundings), number_(number), zone_(zone), makeGateway_(std::move(makeGateway)) {}

// ---- start and end ----

void GatewayProcess::start() {
  ++incarnation_;
  state_ = State::ready;
  armedFor_ = TimePoint::max();
  deadlines_ = {};
  attempts_ = {};
  counterCalls_ = {};
  idleConnections_.clear();
  gateway_ = makeGateway_(surroundings_.discovery.subscribe(number_), deadlines_, *this);
  surroundings_.front.setListed(number_, true);
  armTimer();
}

void GatewayProcess::kill() {
  if (!isRunning()) return;
  const ProcessRef dead = ref();
  state_ = State::down;
  ++incarnation_;
  RunContext& run = surroundings_.run;
  run.checker().gatewayDied(run.now(), {number_});
  run.trace(TraceEvent::gatewayDied, number_);
  surroundings_.discovery.unsubscribe(number_);
  surroundings_.clients.gatewayDied(dead);
  attempts_.forEach([&](SlotRef, const UpstreamAttempt& attempt) { closeAtHost(attempt); });
  attempts_ = {};
  for (const auto& [host, idle] : idleConnections_) surroundings_.hosts.connectionsClosed(host, idle.size());
  idleConnections_.clear();
  gateway_.reset();
  deadlines_ = {};
  run.events().after(run.scenario().failureDetectionDelay, [this] {
    if (!isRunning()) surroundings_.front.setListed(number_, false);
  });
}

void GatewayProcess::beginShutdown() {
  if (state_ != State::ready) return;
  state_ = State::draining;
  RunContext& run = surroundings_.run;
  const Duration drainTime = std::min(run.scenario().longestDeadline(), kMaxDrainTime);
  gateway_->setAnswerDeadline(run.now() + kAcceptAfterSigterm + drainTime - kDrainMargin);
  run.events().after(kAcceptAfterSigterm / 2, [this] { surroundings_.front.setListed(number_, false); });
  armTimer();
  whileRunning(kAcceptAfterSigterm, [this] { endWhenAnswered(); });
}

void GatewayProcess::endWhenAnswered() {
  if (gateway_->unanswered() > 0) return whileRunning(kDrainPoll, [this] { endWhenAnswered(); });
  kill();
  RunContext& run = surroundings_.run;
  run.events().after(run.scenario().restartDelay, [this, incarnation = incarnation_] {
    if (incarnation_ == incarnation && !isRunning()) start();
  });
}

void GatewayProcess::armTimer() {
  const TimePoint next = deadlines_.nextDueAt();
  if (!isRunning() || next >= armedFor_) return;
  armedFor_ = next;
  RunContext& run = surroundings_.run;
  run.events().at(next, [this, incarnation = incarnation_, next] {
    if (!isRunning(incarnation) || armedFor_ != next) return;
    armedFor_ = TimePoint::max();
    deadlines_.run(surroundings_.run.now());
    armTimer();
  });
}

// ---- events for the gateway inside ----

void GatewayProcess::requestArrived(SlotRef clientAttempt, const Request& request) {
  gateway_->requestArrived(surroundings_.run.now(), clientAttempt, request);
  armTimer();
}

void GatewayProcess::clientLeft(SlotRef clientAttempt) {
  gateway_->clientLeft(surroundings_.run.now(), clientAttempt);
  armTimer();
}

void GatewayProcess::endpointsUpdated(const config::EndpointList& endpoints) {
  gateway_->endpointsUpdated(surroundings_.run.now(), endpoints);
  armTimer();
}

void GatewayProcess::counterCallEnded(SlotRef ref, CounterCallOutcome outcome, double total) {
  const CounterCall* const found = counterCalls_.find(ref);
  if (!found) return;
  const CounterCall call = *found;
  counterCalls_.drop(ref);
  const TimePoint now = surroundings_.run.now();
  gateway_->counterCallEnded(now, call.key, outcome, total, now - call.startedAt);
  armTimer();
}

// ---- answers to clients ----

void GatewayProcess::sendResponse(SlotRef client, std::string_view, std::string_view) {
  surroundings_.clients.answerSent(client, Answer::ok, Duration{0});
}

void GatewayProcess::sendRejection(SlotRef client, Duration retryAfter) {
  surroundings_.clients.answerSent(client, Answer::rejected, retryAfter);
}

void GatewayProcess::sendFailure(SlotRef client) {
  surroundings_.clients.answerSent(client, Answer::failed, Duration{0});
}

// ---- calls to the counter service ----

void GatewayProcess::addToCounter(const CounterKey& key, double units, Duration keepFor) {
  RunContext& run = surroundings_.run;
  ++run.metrics().counterCalls;
  ++run.currentSecond().counterCalls;
  const SlotRef ref = counterCalls_.add(CounterCall{key, run.now()});
  const CounterService::Call call{{this->ref(), ref}, key, units, keepFor};
  run.events().after(surroundings_.network.delay(),
                     [this, call] { surroundings_.counter.callArrived(call); });
  whileRunning(run.scenario().counterTimeout,
               [this, ref] { counterCallEnded(ref, CounterCallOutcome::unknown, 0); });
}

// ---- attempts ----

std::variant<SlotRef, Outcome> GatewayProcess::startAttempt(RequestId requestId, AttemptNumber attemptNumber,
                                                            SlotRef client, HostId hostId, AttemptDeadline) {
  const auto clientAttemptId = surroundings_.clients.idOf(client);
  if (!clientAttemptId) return Outcome::notSent;
  RunContext& run = surroundings_.run;
  const HostFleet& hosts = surroundings_.hosts;
  const std::uint32_t host = HostFleet::numberOf(gateway_->addressOf(hostId));
  const ConnectionState connection = takeConnection(host);
  const SlotRef ref = attempts_.add(UpstreamAttempt{requestId, attemptNumber, client, *clientAttemptId, host,
                                                    hosts.incarnationOf(host), connection});
  run.checker().attemptStarted(run.now(), *clientAttemptId, attemptNumber.value, {host}, hosts.zoneOf(host),
                     hosts.cellOf(host));
  ++run.metrics().attempts;
  ++run.currentSecond().attempts;
  if (attemptNumber.value > 0) ++run.metrics().retries;
  run.trace(TraceEvent::attemptStarted, host);
  Duration delay = surroundings_.network.delay();
  if (connection == ConnectionState::connecting) {
    ++run.metrics().newConnections;
    ++run.currentSecond().newConnections;
    delay += 2 * surroundings_.network.delay();
  }
  whileRunning(delay, [this, ref] { reachHost(ref); });
  return ref;
}

// An idle connection that the host has not closed yet, or a new one.
GatewayProcess::ConnectionState GatewayProcess::takeConnection(std::uint32_t host) {
  const TimePoint now = surroundings_.run.now();
  std::deque<TimePoint>& idle = idleConnections_[host];
  while (!idle.empty() && idle.front() + surroundings_.run.scenario().idleTimeout / 2 <= now) {
    idle.pop_front();
    surroundings_.hosts.connectionsClosed(host, 1);
  }
  if (idle.empty()) return ConnectionState::connecting;
  idle.pop_back();
  return ConnectionState::open;
}

bool GatewayProcess::isUnreachable(std::uint32_t host) const {
  return surroundings_.network.isPartitioned(zone_, surroundings_.hosts.zoneOf(host)) ||
         surroundings_.hosts.isUnresponsive(host);
}

void GatewayProcess::reachHost(SlotRef ref) {
  UpstreamAttempt* const attempt = attempts_.find(ref);
  if (!attempt) return;  // closed on the way: the host sees no whole request
  HostFleet& hosts = surroundings_.hosts;
  const bool connecting = attempt->connection == ConnectionState::connecting;
  if (isUnreachable(attempt->host)) {
    // No answer comes back; only a new connection has a timeout of its own.
    if (connecting)
      whileRunning(surroundings_.run.scenario().connectTimeout,
                   [this, ref] { deliverEnd(ref, Outcome::noConnection, Duration{0}); });
    return;
  }
  if (connecting) {
    if (!hosts.openConnection(attempt->host)) return attemptEnded(ref, Outcome::noConnection);
    attempt->connection = ConnectionState::open;
  } else if (!hosts.isUp(attempt->host, attempt->hostIncarnation)) {
    return attemptEnded(ref, Outcome::lost);
  }
  const ClientRequest* const request = surroundings_.clients.requestOf(attempt->clientAttempt);
  const std::size_t methods = surroundings_.run.scenario().methods.size();
  // The method of a request whose client has gone is not known any more; any will do for the host's work.
  const auto method =
      request ? request->method : static_cast<std::uint32_t>(attempt->clientAttemptId.value % methods);
  countUnits(*attempt);
  const auto taken = hosts.submit({attempt->host,
                                   {this->ref(), ref},
                                   attempt->clientAttemptId,
                                   attempt->attemptNumber,
                                   method,
                                   surroundings_.discovery.hasAnnouncedStart(number_, attempt->host)});
  if (const Outcome* const outcome = std::get_if<Outcome>(&taken)) return attemptEnded(ref, *outcome);
  attempt->job = std::get<SlotRef>(taken);
}

// The first attempt of a request that reaches a host draws the request's units from the customer's quota.
void GatewayProcess::countUnits(const UpstreamAttempt& attempt) {
  RunContext& run = surroundings_.run;
  const auto inside = run.checker().requestDelivered(run.now(), attempt.clientAttemptId, attempt.attemptNumber.value);
  if (!inside) return;
  const ClientRequest* const request = surroundings_.clients.requestOf(attempt.clientAttempt);
  const double units = request ? request->units : 0;
  run.currentSecond().unitsSent += units;
  if (!*inside) run.currentSecond().unitsOverQuota += units;
  surroundings_.clients.setInsideQuota(attempt.clientAttempt, *inside);
}

void GatewayProcess::attemptEnded(SlotRef ref, Outcome outcome) {
  const UpstreamAttempt* const attempt = attempts_.find(ref);
  if (!attempt || isUnreachable(attempt->host)) return;
  deliverEnd(ref, outcome, surroundings_.network.delay());
}

void GatewayProcess::deliverEnd(SlotRef ref, Outcome outcome, Duration delay) {
  const UpstreamAttempt* const attempt = attempts_.find(ref);
  if (!attempt) return;
  const HostFleet& hosts = surroundings_.hosts;
  core::UpstreamResponse response{};
  if (surroundings_.run.scenario().reportsLoad && outcome == Outcome::ok)
    response.load = hosts.loadReport(attempt->host);
  const std::uint64_t hostIncarnation = hosts.incarnationOf(attempt->host);
  whileRunning(delay, [this, ref, outcome, response, hostIncarnation] {
    finishAttempt(ref, outcome, response, hostIncarnation);
  });
}

void GatewayProcess::finishAttempt(SlotRef ref, Outcome outcome, const core::UpstreamResponse& response,
                                   std::uint64_t hostIncarnation) {
  const UpstreamAttempt* const found = attempts_.find(ref);
  if (!found) return;
  const UpstreamAttempt attempt = *found;
  attempts_.drop(ref);
  RunContext& run = surroundings_.run;
  const bool neverRan = outcome == Outcome::rejected || outcome == Outcome::noConnection;
  run.checker().attemptEnded(run.now(), attempt.clientAttemptId, attempt.attemptNumber.value, neverRan);
  run.trace(TraceEvent::attemptEnded, static_cast<std::uint64_t>(outcome));
  const bool answered = outcome == Outcome::ok || outcome == Outcome::error || outcome == Outcome::rejected;
  if (surroundings_.hosts.isUp(attempt.host, hostIncarnation)) {
    if (answered)
      idleConnections_[attempt.host].push_back(run.now());
    else if (attempt.connection == ConnectionState::open)
      surroundings_.hosts.connectionsClosed(attempt.host, 1);
  }
  gateway_->attemptEnded(run.now(), attempt.requestId, attempt.attemptNumber, outcome, response);
  armTimer();
}

bool GatewayProcess::closeAttempt(SlotRef, AttemptNumber, SlotRef ref) {
  const UpstreamAttempt* const found = attempts_.find(ref);
  if (!found) return true;
  const UpstreamAttempt attempt = *found;
  attempts_.drop(ref);
  RunContext& run = surroundings_.run;
  run.checker().attemptEnded(run.now(), attempt.clientAttemptId, attempt.attemptNumber.value, false);
  closeAtHost(attempt);
  return true;
}

// The host learns a little later that the connection is closed.
void GatewayProcess::closeAtHost(const UpstreamAttempt& attempt) {
  if (attempt.connection == ConnectionState::open) surroundings_.hosts.connectionsClosed(attempt.host, 1);
  if (!attempt.job) return;
  surroundings_.run.events().after(surroundings_.network.delay(),
                                   [this, job = *attempt.job] { surroundings_.hosts.cancel(job); });
}

void GatewayProcess::hostUnavailable(HostId hostId) {
  if (!gateway_) return;
  const std::string& address = gateway_->addressOf(hostId);
  std::uint32_t host = 0;
  if (std::from_chars(address.data(), address.data() + address.size(), host).ec != std::errc{}) return;
  const auto idle = idleConnections_.find(host);
  if (idle == idleConnections_.end()) return;
  surroundings_.hosts.connectionsClosed(host, idle->second.size());
  idleConnections_.erase(idle);
}

}  // namespace merlinbridge::emulator
