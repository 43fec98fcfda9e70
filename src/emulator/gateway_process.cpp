#include "emulator/gateway_process.hpp"

#include <algorithm>
#include <charconv>

namespace merlinbridge::emulator {
namespace {

using core::SlotRef;

/// By the protocol, a gateway still receives new requests for this long after SIGTERM.
constexpr Duration kAcceptAfterSigterm = std::chrono::milliseconds(700);
/// By the protocol, a draining process is killed this long after it received its last request.
constexpr Duration kMaxDrainTime = std::chrono::seconds(3);
/// A draining process answers all requests this long before it would be killed.
constexpr Duration kDrainMargin = std::chrono::milliseconds(150);
/// How often a draining process checks whether all requests are answered.
constexpr Duration kDrainPollInterval = kDrainMargin / 10;

}  // namespace

GatewayProcess::GatewayProcess(const GatewayEnvironment& environment, std::uint32_t number,
                               std::uint32_t zone, MakeGateway makeGateway)
    : environment_(environment), number_(number), zone_(zone), makeGateway_(std::move(makeGateway)) {}

// ---- start and end ----

void GatewayProcess::start() {
  ++incarnation_;
  state_ = State::ready;
  timerDueAt_ = TimePoint::max();
  deadlines_ = {};
  attempts_ = {};
  counterCalls_ = {};
  idleConnections_.clear();
  gateway_ = makeGateway_(environment_.discovery.subscribe(number_), deadlines_, *this);
  environment_.loadBalancer.setListed(number_, true);
  armTimer();
}

void GatewayProcess::kill() {
  if (!isRunning()) return;
  const ProcessRef endedProcess = ref();
  state_ = State::down;
  ++incarnation_;
  RunContext& run = environment_.run;
  run.checker().gatewayDied(run.now(), {number_});
  run.trace(TraceEvent::gatewayDied, number_);
  environment_.discovery.unsubscribe(number_);
  environment_.clients.gatewayDied(endedProcess);
  attempts_.forEach([&](SlotRef, const UpstreamAttempt& attempt) { closeAtHost(attempt); });
  attempts_ = {};
  for (const auto& [host, idle] : idleConnections_) environment_.hosts.connectionsClosed(host, idle.size());
  idleConnections_.clear();
  gateway_.reset();
  deadlines_ = {};
  run.events().after(run.scenario().failureDetectionDelay, [this] {
    if (!isRunning()) environment_.loadBalancer.setListed(number_, false);
  });
}

void GatewayProcess::beginShutdown() {
  if (state_ != State::ready) return;
  state_ = State::draining;
  RunContext& run = environment_.run;
  const Duration drainTime = std::min(run.scenario().longestDeadline(), kMaxDrainTime);
  gateway_->setAnswerDeadline(run.now() + kAcceptAfterSigterm + drainTime - kDrainMargin);
  run.events().after(kAcceptAfterSigterm / 2,
                     [this] { environment_.loadBalancer.setListed(number_, false); });
  armTimer();
  whileRunning(kAcceptAfterSigterm, [this] { endWhenAnswered(); });
}

void GatewayProcess::endWhenAnswered() {
  if (gateway_->unansweredCount() > 0) return whileRunning(kDrainPollInterval, [this] { endWhenAnswered(); });
  kill();
  RunContext& run = environment_.run;
  run.events().after(run.scenario().restartDelay, [this, incarnation = incarnation_] {
    if (incarnation_ == incarnation && !isRunning()) start();
  });
}

void GatewayProcess::armTimer() {
  const TimePoint next = deadlines_.nextDueAt();
  if (!isRunning() || next >= timerDueAt_) return;
  timerDueAt_ = next;
  RunContext& run = environment_.run;
  run.events().at(next, [this, incarnation = incarnation_, next] {
    if (!isRunning(incarnation) || timerDueAt_ != next) return;
    timerDueAt_ = TimePoint::max();
    deadlines_.run(environment_.run.now());
    armTimer();
  });
}

// ---- events for the gateway in the process ----

void GatewayProcess::requestArrived(SlotRef clientAttempt, const Request& request) {
  gateway_->requestArrived(environment_.run.now(), clientAttempt, request);
  armTimer();
}

void GatewayProcess::clientDisconnected(SlotRef clientAttempt) {
  gateway_->clientDisconnected(environment_.run.now(), clientAttempt);
  armTimer();
}

void GatewayProcess::endpointsUpdated(const config::EndpointList& endpoints) {
  gateway_->endpointsUpdated(environment_.run.now(), endpoints);
  armTimer();
}

void GatewayProcess::counterCallEnded(SlotRef ref, CounterCallOutcome outcome, double total) {
  const CounterCall* const found = counterCalls_.find(ref);
  if (!found) return;
  const CounterCall call = *found;
  counterCalls_.drop(ref);
  const TimePoint now = environment_.run.now();
  gateway_->counterCallEnded(now, call.key, outcome, total, now - call.startedAt);
  armTimer();
}

// ---- answers to clients ----

void GatewayProcess::sendResponse(SlotRef client, std::string_view, std::string_view) {
  environment_.clients.answerSent(client, Answer::ok, Duration{0});
}

void GatewayProcess::sendRejection(SlotRef client, Duration retryAfter) {
  environment_.clients.answerSent(client, Answer::rejected, retryAfter);
}

void GatewayProcess::sendFailure(SlotRef client) {
  environment_.clients.answerSent(client, Answer::failed, Duration{0});
}

// ---- calls to the counter service ----

void GatewayProcess::addToCounter(const CounterKey& key, double units, Duration keepFor) {
  RunContext& run = environment_.run;
  ++run.metrics().counterCalls;
  ++run.currentSecond().counterCalls;
  const SlotRef ref = counterCalls_.add(CounterCall{key, run.now()});
  const CounterService::Call call{{this->ref(), ref}, key, units, keepFor};
  run.events().after(environment_.network.delay(), [this, call] { environment_.counter.callArrived(call); });
  whileRunning(run.scenario().counterTimeout,
               [this, ref] { counterCallEnded(ref, CounterCallOutcome::unknown, 0); });
}

// ---- attempts ----

std::variant<SlotRef, Outcome> GatewayProcess::startAttempt(RequestId requestId, AttemptNumber attemptNumber,
                                                            SlotRef client, HostId hostId, AttemptDeadline) {
  const auto clientAttemptId = environment_.clients.idOf(client);
  if (!clientAttemptId) return Outcome::notSent;
  RunContext& run = environment_.run;
  const HostFleet& hosts = environment_.hosts;
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
  Duration delay = environment_.network.delay();
  if (connection == ConnectionState::connecting) {
    ++run.metrics().newConnections;
    ++run.currentSecond().newConnections;
    delay += 2 * environment_.network.delay();
  }
  whileRunning(delay, [this, ref] { reachHost(ref); });
  return ref;
}

// Reuses an idle connection that the host has not closed yet, or else opens a new one.
GatewayProcess::ConnectionState GatewayProcess::takeConnection(std::uint32_t host) {
  const TimePoint now = environment_.run.now();
  std::deque<TimePoint>& idle = idleConnections_[host];
  while (!idle.empty() && idle.front() + environment_.run.scenario().idleTimeout / 2 <= now) {
    idle.pop_front();
    environment_.hosts.connectionsClosed(host, 1);
  }
  if (idle.empty()) return ConnectionState::connecting;
  idle.pop_back();
  return ConnectionState::open;
}

bool GatewayProcess::isUnreachable(std::uint32_t host) const {
  return environment_.network.isPartitioned(zone_, environment_.hosts.zoneOf(host)) ||
         environment_.hosts.isUnresponsive(host);
}

void GatewayProcess::reachHost(SlotRef ref) {
  UpstreamAttempt* const attempt = attempts_.find(ref);
  if (!attempt) return;  // closed in transit: the host never receives the complete request
  HostFleet& hosts = environment_.hosts;
  const bool connecting = attempt->connection == ConnectionState::connecting;
  if (isUnreachable(attempt->host)) {
    // No response arrives. Only a new connection has a timeout of its own.
    if (connecting)
      whileRunning(environment_.run.scenario().connectTimeout,
                   [this, ref] { deliverOutcome(ref, Outcome::noConnection, Duration{0}); });
    return;
  }
  if (connecting) {
    if (!hosts.openConnection(attempt->host)) return attemptEnded(ref, Outcome::noConnection);
    attempt->connection = ConnectionState::open;
  } else if (!hosts.isUp(attempt->host, attempt->hostIncarnation)) {
    return attemptEnded(ref, Outcome::lost);
  }
  const ClientRequest* const request = environment_.clients.requestOf(attempt->clientAttempt);
  const std::size_t methods = environment_.run.scenario().methods.size();
  // The method is no longer known if the client has disconnected. It determines only the host's work, so any
  // method will do.
  const auto method =
      request ? request->method : static_cast<std::uint32_t>(attempt->clientAttemptId.value % methods);
  countUnits(*attempt);
  const auto submitted = hosts.submit({attempt->host,
                                       {this->ref(), ref},
                                       attempt->clientAttemptId,
                                       attempt->attemptNumber,
                                       method,
                                       environment_.discovery.hasAnnouncedStart(number_, attempt->host)});
  if (const Outcome* const outcome = std::get_if<Outcome>(&submitted)) return attemptEnded(ref, *outcome);
  attempt->job = std::get<SlotRef>(submitted);
}

// The first attempt of a request that reaches a host charges the request's units to the customer's quota.
void GatewayProcess::countUnits(const UpstreamAttempt& attempt) {
  RunContext& run = environment_.run;
  const auto inside =
      run.checker().requestDelivered(run.now(), attempt.clientAttemptId, attempt.attemptNumber.value);
  if (!inside) return;
  const ClientRequest* const request = environment_.clients.requestOf(attempt.clientAttempt);
  const double units = request ? request->units : 0;
  run.currentSecond().unitsSent += units;
  if (!*inside) run.currentSecond().unitsOverQuota += units;
  environment_.clients.setInsideQuota(attempt.clientAttempt, *inside);
}

void GatewayProcess::attemptEnded(SlotRef ref, Outcome outcome) {
  const UpstreamAttempt* const attempt = attempts_.find(ref);
  if (!attempt || isUnreachable(attempt->host)) return;
  deliverOutcome(ref, outcome, environment_.network.delay());
}

void GatewayProcess::deliverOutcome(SlotRef ref, Outcome outcome, Duration delay) {
  const UpstreamAttempt* const attempt = attempts_.find(ref);
  if (!attempt) return;
  const HostFleet& hosts = environment_.hosts;
  core::UpstreamResponse response{};
  if (environment_.run.scenario().reportsLoad && outcome == Outcome::ok)
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
  RunContext& run = environment_.run;
  const bool notExecuted = outcome == Outcome::rejected || outcome == Outcome::noConnection;
  run.checker().attemptEnded(run.now(), attempt.clientAttemptId, attempt.attemptNumber.value, notExecuted);
  run.trace(TraceEvent::attemptEnded, static_cast<std::uint64_t>(outcome));
  const bool responseReceived =
      outcome == Outcome::ok || outcome == Outcome::error || outcome == Outcome::rejected;
  if (environment_.hosts.isUp(attempt.host, hostIncarnation)) {
    if (responseReceived)
      idleConnections_[attempt.host].push_back(run.now());
    else if (attempt.connection == ConnectionState::open)
      environment_.hosts.connectionsClosed(attempt.host, 1);
  }
  gateway_->attemptEnded(run.now(), attempt.requestId, attempt.attemptNumber, outcome, response);
  armTimer();
}

bool GatewayProcess::closeAttempt(SlotRef, AttemptNumber, SlotRef ref) {
  const UpstreamAttempt* const found = attempts_.find(ref);
  if (!found) return true;
  const UpstreamAttempt attempt = *found;
  attempts_.drop(ref);
  RunContext& run = environment_.run;
  run.checker().attemptEnded(run.now(), attempt.clientAttemptId, attempt.attemptNumber.value, false);
  closeAtHost(attempt);
  return true;
}

// The host sees the closed connection after a network delay.
void GatewayProcess::closeAtHost(const UpstreamAttempt& attempt) {
  if (attempt.connection == ConnectionState::open) environment_.hosts.connectionsClosed(attempt.host, 1);
  if (!attempt.job) return;
  environment_.run.events().after(environment_.network.delay(),
                                  [this, job = *attempt.job] { environment_.hosts.cancel(job); });
}

void GatewayProcess::hostUnavailable(HostId hostId) {
  if (!gateway_) return;
  const std::string& address = gateway_->addressOf(hostId);
  std::uint32_t host = 0;
  if (std::from_chars(address.data(), address.data() + address.size(), host).ec != std::errc{}) return;
  const auto idle = idleConnections_.find(host);
  if (idle == idleConnections_.end()) return;
  environment_.hosts.connectionsClosed(host, idle->second.size());
  idleConnections_.erase(idle);
}

}  // namespace merlinbridge::emulator
