#include "gateway_core/gateway_core.hpp"

#include <algorithm>

namespace merlinbridge::core {
namespace {

// Closed ids of clients' requests may take the process's memory divided by this.
constexpr std::size_t kIdMemoryDivisor = 16;
// One id in a hash table and a queue, in bytes.
constexpr std::size_t kBytesPerId = 96;
// If the configuration states no memory.
constexpr std::size_t kDefaultMaxClosedIds = 16384;

// Zones that discovery may name, and likewise machines, in the lifetime of the gateway.
constexpr std::size_t kMaxNames = HostDirectory::kMaxHosts;

std::size_t maxClosedIds(std::size_t memoryBytes) {
  return memoryBytes > 0 ? memoryBytes / kIdMemoryDivisor / kBytesPerId : kDefaultMaxClosedIds;
}

}  // namespace

GatewayCore::GatewayCore(const config::GatewayConfig& config, TimePoint now, DeadlineQueue& deadlines,
                         Transport& transport, DeadlineEnforcer deadlineEnforcer)
    : settings_(config.settings),
      answerSlack_(config.answerSlack),
      longestDeadline_(config.longestDeadline > Duration{0} ? config.longestDeadline : Duration::max()),
      enforcesDeadlines_(deadlineEnforcer == DeadlineEnforcer::core),
      now_(now),
      names_{NameTable<MethodId>(config.methodNames), NameTable<PlanId>(config.planNames),
             NameTable<ZoneId>(config.zoneNames), NameTable<MachineId>(config.machineNames)},
      deadlines_(deadlines),
      transport_(transport),
      clientRequestIds_(config.longestDeadline, maxClosedIds(config.maxMemoryBytes)),
      hosts_(config.longestDeadline, transport),
      engine_(config.settings, config.seed, now, *this) {
  config::EndpointList known = config.knownEndpoints;
  known.complete = true;
  endpointsUpdated(now, known);
}

// ---- Requests: from the adapter to the engine ----

RequestId GatewayCore::requestArrived(TimePoint now, SlotRef client, Request request,
                                      std::optional<ClientRequestId> clientRequestId) {
  now_ = now;
  // The answer must reach the client before the client gives up, so the deadline is brought forward by the
  // answer slack and by the event loop's present lateness.
  if (enforcesDeadlines_) {
    request.deadline = std::min(request.deadline, now + longestDeadline_);
    request.deadline = std::max(now, request.deadline - answerSlack_ - deadlines_.lateness(now));
  }
  request.deadline = std::min(request.deadline, answerDeadline_);
  const TimePoint deadline = enforcesDeadlines_ ? request.deadline : request.deadline + answerSlack_;
  const RequestId requestId = requests_.add(client, deadline);
  PendingRequest& pending = *requests_.find(requestId);
  pending.answerDeadlineTimer = addAnswerDeadlineTimer(deadline, requestId);
  pending.clientRequestId = clientRequestId;
  const Idempotency idempotency = settings_.methods[request.method.value].idempotency;
  pending.isIdempotent = idempotency == Idempotency::idempotent;
  if (clientRequestId) clientRequestIds_.open(*clientRequestId);
  request.requestId = requestId;
  engine_.requestArrived(now, request);
  finishInput(now, requestId);
  return requestId;
}

std::optional<Duration> GatewayCore::rejectionInAdvance(TimePoint now, const Request& request) {
  now_ = now;
  const std::optional<Duration> retryAfter = engine_.rejectionInAdvance(now, request);
  finishInput(now, std::nullopt);
  return retryAfter;
}

void GatewayCore::clientDisconnected(TimePoint now, RequestId requestId) {
  now_ = now;
  if (!requests_.markAnswered(requestId)) return;
  engine_.clientDisconnected(now, requestId);
  finishInput(now, requestId);
}

void GatewayCore::attemptEnded(TimePoint now, RequestId requestId, AttemptNumber attemptNumber,
                               Outcome outcome, const UpstreamResponse& response) {
  now_ = now;
  PendingRequest* const request = requests_.find(requestId);
  Attempt* const attempt = request ? request->findInFlight(attemptNumber) : nullptr;
  if (!attempt) return;
  request->endAttempt(*attempt);
  hosts_.attemptEnded(attempt->host);
  const bool hasResponse = outcome == Outcome::ok || response.forwardedByAdapter;
  const bool isFirstResponse = hasResponse && markAnswered(requestId) != nullptr;
  if (isFirstResponse && !response.forwardedByAdapter)
    transport_.sendResponse(request->client, response.body, response.contentType);
  const AttemptResult result{
      .requestId = requestId,
      .attemptNumber = attemptNumber,
      .host = attempt->host,
      .outcome = outcome,
      .requestAnswered = request->state == PendingRequest::State::answered,
      .duration = response.duration.value_or(now - attempt->startedAt),
      .trueUnits = outcome == Outcome::ok ? response.trueUnits : 0,
      .load = response.load,
  };
  engine_.attemptEnded(now, result);
  finishInput(now, requestId);
}

bool GatewayCore::clientAwaitsAnswer(RequestId requestId) {
  const PendingRequest* const request = requests_.find(requestId);
  return request && request->state == PendingRequest::State::unanswered &&
         transport_.clientState(request->client) == ClientState::connected;
}

// ---- Requests: from the engine to the transport ----

void GatewayCore::startAttempt(RequestId requestId, HostId host, AttemptDeadline deadline) {
  PendingRequest* const request = requests_.find(requestId);
  if (!request) return;
  // A client may have disconnected before a late event loop has handled the disconnection. The engine is then
  // told that the attempt ended as not sent, and no host does work for a disconnected client.
  const bool isUnanswered = request->state == PendingRequest::State::unanswered;
  const ClientState client =
      isUnanswered ? transport_.clientState(request->client) : ClientState::disconnected;
  if (client == ClientState::disconnected) deferred_.add(ClientDisconnected{requestId});
  if (client == ClientState::unknown) deferred_.add(ClientStateUnknown{requestId});
  const AttemptNumber attemptNumber = request->addAttempt(host, now_);
  request->attempts[attemptNumber.value].incarnation = hosts_.incarnationOf(host);
  hosts_.attemptStarted(host);
  deadline.abandonAt = std::min(deadline.abandonAt, request->deadline);
  AttemptStartResult started = Outcome::notSent;
  if (client == ClientState::connected)
    started = transport_.startAttempt(requestId, attemptNumber, request->client, host, deadline);
  if (const Outcome* const outcome = std::get_if<Outcome>(&started)) {
    deferred_.add(AttemptEndedImmediately{requestId, attemptNumber, *outcome});
    return;
  }
  request->attempts[attemptNumber.value].connection = std::get<SlotRef>(started);
  // At the request's own deadline, the request's timer abandons all its attempts.
  if (enforcesDeadlines_ && deadline.abandonAt < request->deadline)
    deadlines_.add(deadline.abandonAt, [this, requestId, attemptNumber](TimePoint now) {
      abandonAttempt(now, requestId, attemptNumber, Outcome::noResponse);
    });
}

void GatewayCore::cancel(RequestId requestId, AttemptNumber attemptNumber) {
  deferred_.add(AttemptToAbandon{requestId, attemptNumber, Outcome::cancelled});
}

void GatewayCore::reject(RequestId requestId, Duration retryAfter) {
  if (const PendingRequest* const request = markAnswered(requestId))
    transport_.sendRejection(request->client, retryAfter);
}

void GatewayCore::fail(RequestId requestId) {
  if (const PendingRequest* const request = markAnswered(requestId)) transport_.sendFailure(request->client);
}

// ---- Deadlines ----

void GatewayCore::setAnswerDeadline(TimePoint answerBy) {
  answerDeadline_ = answerBy;
  requests_.forEach([this](RequestId requestId, PendingRequest& request) {
    if (request.state == PendingRequest::State::answered || request.deadline <= answerDeadline_) return;
    deadlines_.cancel(request.answerDeadlineTimer);
    request.deadline = answerDeadline_;
    request.answerDeadlineTimer = addAnswerDeadlineTimer(answerDeadline_, requestId);
  });
}

DeadlineQueue::Handle GatewayCore::addAnswerDeadlineTimer(TimePoint deadline, RequestId requestId) {
  return deadlines_.add(deadline,
                        [this, requestId](TimePoint now) { answerDeadlineReached(now, requestId); });
}

// Abandons the attempts in flight, after which the engine normally answers the request. Fails the request if
// the engine has not, so that every request gets an answer.
void GatewayCore::answerDeadlineReached(TimePoint now, RequestId requestId) {
  if (enforcesDeadlines_)
    for (std::uint32_t number = 0; number < requests_.attemptCount(requestId); ++number)
      abandonAttempt(now, requestId, {number}, Outcome::noResponse);
  failRequest(now, requestId);
  finishInput(now, requestId);
}

// Fails a request without the engine, which then starts nothing more for it.
void GatewayCore::failRequest(TimePoint now, RequestId requestId) {
  const PendingRequest* const request = markAnswered(requestId);
  if (!request) return;
  transport_.sendFailure(request->client);
  engine_.clientDisconnected(now, requestId);
}

void GatewayCore::abandonAttempt(TimePoint now, RequestId requestId, AttemptNumber attemptNumber,
                                 Outcome outcome) {
  PendingRequest* const request = requests_.find(requestId);
  const Attempt* const attempt = request ? request->findInFlight(attemptNumber) : nullptr;
  if (!attempt) return;
  if (transport_.isUnsent(attempt->connection)) outcome = Outcome::notSent;
  if (transport_.closeAttempt(request->client, attemptNumber, attempt->connection))
    attemptEnded(now, requestId, attemptNumber, outcome);
}

// ---- Counter service and timers of the engine ----

void GatewayCore::addToCounter(const CounterKey& counter, double units, Duration keepFor) {
  transport_.addToCounter(counter, units, keepFor);
}

void GatewayCore::counterCallEnded(TimePoint now, const CounterKey& counter, CounterCallOutcome outcome,
                                   double total, Duration duration) {
  now_ = now;
  engine_.counterCallEnded(now, counter, outcome, total, duration);
  finishInput(now, std::nullopt);
}

void GatewayCore::setTimer(TimePoint dueAt, TimerId timer) {
  deadlines_.add(dueAt, [this, timer](TimePoint now) {
    now_ = now;
    engine_.timerFired(now, timer);
    finishInput(now, std::nullopt);
  });
}

// ---- Hosts ----

void GatewayCore::endpointsUpdated(TimePoint now, const config::EndpointList& endpoints) {
  now_ = now;
  const std::vector<HostUpdate> updates = applyEndpoints(now, endpoints.entries);
  if (endpoints.complete) {
    hosts_.markUnlistedGone(now, updates);
    engine_.allHostsUpdated(now, updates);
  } else {
    engine_.hostsUpdated(now, updates);
  }
  deferAbandoningUnsent();
  finishInput(now, std::nullopt);
}

// Zones and machines get ids as discovery names them, and keep them.
bool GatewayCore::hasIdsFor(const config::Endpoint& endpoint) const {
  const bool hasZone = names_.zones.size() < kMaxNames || names_.zones.find(endpoint.zone);
  return hasZone && (names_.machines.size() < kMaxNames || names_.machines.find(endpoint.machine));
}

std::vector<HostUpdate> GatewayCore::applyEndpoints(TimePoint now,
                                                    const std::vector<config::Endpoint>& endpoints) {
  std::vector<HostUpdate> updates;
  for (const config::Endpoint& endpoint : endpoints) {
    if (!hasIdsFor(endpoint)) {
      transport_.endpointTableFull(endpoint.name);
      continue;
    }
    const auto host = hosts_.update(now, endpoint);
    if (!host) continue;
    HostUpdate& update = updates.emplace_back();
    update.host = *host;
    update.zone = names_.zones.findOrAdd(endpoint.zone);
    update.cell = {endpoint.cell};
    update.machine = names_.machines.findOrAdd(endpoint.machine);
    update.serving = endpoint.serving;
    update.weight = endpoint.weight;
    if (endpoint.started.count() != 0) update.startedAt = TimePoint(endpoint.started);
  }
  return updates;
}

// Abandons attempts that are still unsent to hosts that no longer serve, have restarted or moved: they would
// reach a draining host, or a process that is not the one that was chosen.
void GatewayCore::deferAbandoningUnsent() {
  requests_.forEach([&](RequestId requestId, const PendingRequest& request) {
    for (std::uint32_t number = 0; number < request.attempts.size(); ++number) {
      const Attempt& attempt = request.attempts[number];
      const bool isCurrent = attempt.incarnation == hosts_.incarnationOf(attempt.host);
      if (attempt.state != Attempt::State::inFlight || isCurrent) continue;
      if (transport_.isUnsent(attempt.connection))
        deferred_.add(AttemptToAbandon{requestId, {number}, Outcome::notSent});
    }
  });
}

// ---- The end of each input ----

// Runs after every call to the engine: handles the deferred events in order, then drops the request that the
// input concerned if it is answered and has no attempt in flight.
void GatewayCore::finishInput(TimePoint now, std::optional<RequestId> requestId) {
  deferred_.drain([this, now](const auto& event) { handle(now, event); });
  if (!requestId) return;
  abandonAttemptsOfAnswered(now, *requestId);
  const PendingRequest* const request = requests_.find(*requestId);
  if (!request || request->state != PendingRequest::State::answered || request->attemptsInFlight > 0) return;
  deadlines_.cancel(request->answerDeadlineTimer);
  drop(now, *requestId, *request);
}

// Moves an unanswered request to the answered state, see RequestTable::markAnswered(), because its client
// gets an answer.
PendingRequest* GatewayCore::markAnswered(RequestId requestId) {
  PendingRequest* const request = requests_.markAnswered(requestId);
  if (request && request->isIdempotent) request->repeat = Repeat::harmless;
  return request;
}

// Any attempt counts as one that a host may have executed.
void GatewayCore::drop(TimePoint now, RequestId requestId, const PendingRequest& request) {
  if (const auto id = request.clientRequestId; id && request.attempts.empty())
    clientRequestIds_.forget(*id);
  else if (id)
    clientRequestIds_.close(now, *id, request.repeat);
  requests_.drop(requestId);
}

// Abandons the unsent attempts of a request that is answered or whose client has disconnected, because their
// results would be discarded. Attempts that are already sent run to completion.
void GatewayCore::abandonAttemptsOfAnswered(TimePoint now, RequestId requestId) {
  for (std::uint32_t number = 0; number < requests_.attemptCount(requestId); ++number) {
    PendingRequest& request = *requests_.find(requestId);
    if (request.state != PendingRequest::State::answered) return;
    const Attempt* const attempt = request.findInFlight({number});
    if (attempt && transport_.isUnsent(attempt->connection))
      abandonAttempt(now, requestId, {number}, Outcome::notSent);
  }
}

void GatewayCore::handle(TimePoint now, const ClientDisconnected& event) {
  clientDisconnected(now, event.requestId);
}

// A client whose close could not be noticed gets no attempt, but an answer in case it is still there.
void GatewayCore::handle(TimePoint now, const ClientStateUnknown& event) {
  failRequest(now, event.requestId);
  finishInput(now, event.requestId);
}

void GatewayCore::handle(TimePoint now, const AttemptEndedImmediately& event) {
  attemptEnded(now, event.requestId, event.attemptNumber, event.outcome);
}

void GatewayCore::handle(TimePoint now, const AttemptToAbandon& event) {
  abandonAttempt(now, event.requestId, event.attemptNumber, event.outcome);
}

}  // namespace merlinbridge::core
