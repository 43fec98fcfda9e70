#include "simulated_fleet.hpp"

#include <algorithm>
#include <stdexcept>

namespace merlinbridge::testing {

namespace {

constexpr std::uint32_t kHosts = 6;
constexpr std::uint32_t kZones = 3;
constexpr Duration kServiceTime = 60ms;
constexpr Duration kConnectionRefusedDelay = 1ms;
constexpr Duration kRejectionDelay = 2ms;
constexpr Duration kCancelDelay = 1ms;
constexpr Duration kCounterResponseDelay = 2ms;
constexpr Duration kAnswerSlack = 16ms;  // an answer this long after the deadline is still in time
constexpr int kMaxActionsAtOneTime = 100'000;
constexpr std::uint32_t kNoGateway = 99;

}  // namespace

PolicySettings testPolicySettings(std::uint32_t gateways) {
  PolicySettings settings{};
  settings.methods = {{Idempotency::idempotent, DeduplicationScope::all, 0ns, 600ms, 1},
                      {Idempotency::deduplicated, DeduplicationScope::all, 2s, 500ms, 5},
                      {Idempotency::deduplicated, DeduplicationScope::zone, 100ms, 500ms, 2},
                      {Idempotency::nonIdempotent, DeduplicationScope::all, 2s, 500ms, 3}};
  settings.plans = {{4, 12, 0, 0, 0, 0, 1}, {0, 0, 2, 0, 0, 0, 1}, {20, 30, 0, 40, 60, 8, 1.5}};
  settings.gateways = gateways;
  settings.hasCounter = true;
  settings.counterTimeout = 50ms;
  settings.maxUnits = 4;
  settings.allowCancel = true;
  settings.allowRetryAfter = true;
  settings.maxAttempts = 5;
  settings.maxRetryAfter = 1s;
  settings.connectTimeout = 250ms;
  settings.startCapacity = 0.16;
  settings.overloadMultiple = 3;
  settings.slowStartTime = 10s;
  settings.overloadWindow = 2s;
  return settings;
}

/// Carries out the decisions of one incarnation of a gateway's engine. After a kill, the next incarnation
/// gets a new sink, and actions that the old one scheduled reach no engine.
class SimulatedFleet::EngineSink final : public DecisionSink {
 public:
  EngineSink(SimulatedFleet& fleet, std::uint32_t gateway, std::uint64_t incarnationNumber)
      : incarnation(incarnationNumber), fleet_(fleet), gateway_(gateway) {}

  void startAttempt(RequestId requestId, HostId host, AttemptDeadline deadline) override {
    SimulatedRequest& request = fleet_.requests[requestId.value];
    fleet_.invariants.attemptStarted(request, host, fleet_.now, deadline.writeBy);
    const AttemptEnd end = fleet_.drawAttemptEnd(request, host, deadline.abandonAt);
    ++request.attemptsStarted;
    ++request.attemptsInFlight;
    request.hostByAttempt[end.attemptNumber] = host;
    ++fleet_.hosts[host.value].attemptsInFlight;
    ++fleet_.hosts[host.value].attemptsReceived;
    scheduleEnd(fleet_.now + end.duration, end);
  }

  void cancel(RequestId requestId, AttemptNumber attempt) override {
    const SimulatedRequest& request = fleet_.requests[requestId.value];
    const auto inFlight = request.hostByAttempt.find(attempt.value);
    if (inFlight == request.hostByAttempt.end()) return;
    scheduleEnd(fleet_.now, {requestId, attempt.value, inFlight->second, Outcome::cancelled, kCancelDelay});
  }

  void reject(RequestId requestId, Duration /*retryAfter*/) override {
    finish(requestId, PolicyInvariantChecker::FinalAnswer::rejected);
  }
  void fail(RequestId requestId) override { finish(requestId, PolicyInvariantChecker::FinalAnswer::failed); }

  void addToCounter(const CounterKey& key, double units, Duration /*keepFor*/) override {
    ++fleet_.counterCalls;
    const bool late = fleet_.bernoulli(fleet_.faults.counterResponseLate);
    const bool lost = fleet_.bernoulli(fleet_.faults.counterCallLost);
    const std::string name = std::to_string(key.customer.value) + '.' + std::to_string(key.slot.value);
    const double total = lost ? 0 : fleet_.counters[name] += units;
    const bool timesOut = lost || late;
    const CounterCallOutcome outcome = timesOut ? CounterCallOutcome::unknown : CounterCallOutcome::ok;
    const Duration after = timesOut ? fleet_.settings.counterTimeout : kCounterResponseDelay;
    fleet_.schedule(fleet_.now + after,
                    [&fleet = fleet_, gateway = gateway_, number = incarnation, key, total, outcome] {
                      if (DecisionEngine* const engine = fleet.engineOf(gateway, number))
                        engine->counterCallEnded(fleet.now, key, outcome, total, kCounterResponseDelay);
                    });
  }

  void setTimer(TimePoint when, TimerId timer) override {
    fleet_.schedule(when, [&fleet = fleet_, gateway = gateway_, number = incarnation, timer] {
      if (DecisionEngine* const engine = fleet.engineOf(gateway, number))
        engine->timerFired(fleet.now, timer);
    });
  }

  void report(EngineEvent event) override { fleet_.events.push_back(event); }

  const std::uint64_t incarnation;

 private:
  void scheduleEnd(TimePoint when, const AttemptEnd& end) {
    fleet_.schedule(when, [&fleet = fleet_, gateway = gateway_, number = incarnation, end] {
      fleet.endAttempt(gateway, number, end);
    });
  }
  void finish(RequestId requestId, PolicyInvariantChecker::FinalAnswer answer) {
    fleet_.invariants.requestAnswered(fleet_.requests[requestId.value], answer, fleet_.now);
  }

  SimulatedFleet& fleet_;
  std::uint32_t gateway_;
};

SimulatedFleet::SimulatedFleet(PolicySettings policySettings, std::uint64_t seed)
    : settings(std::move(policySettings)), invariants(settings, hosts), random_(static_cast<unsigned>(seed)) {
  for (std::uint32_t index = 0; index < kHosts; ++index) {
    SimulatedHost& host = hosts.emplace_back();
    host.zone = {index % kZones};
    host.serviceTime = kServiceTime;
  }
  for (std::uint32_t gateway = 0; gateway < settings.gateways; ++gateway) {
    gateways_.emplace_back();
    startGateway(gateway);
  }
}

SimulatedFleet::~SimulatedFleet() = default;

void SimulatedFleet::schedule(TimePoint when, std::function<void()> action) {
  actions_.emplace(std::pair(when, ++lastAction_), std::move(action));
}

void SimulatedFleet::runUntil(TimePoint end) {
  int actionsAtThisTime = 0;
  while (!actions_.empty() && actions_.begin()->first.first <= end) {
    const auto next = actions_.extract(actions_.begin());
    const TimePoint dueAt = next.key().first;
    actionsAtThisTime = dueAt > now ? 0 : actionsAtThisTime + 1;
    if (actionsAtThisTime > kMaxActionsAtOneTime)
      throw std::runtime_error("more than 100,000 consecutive actions due at the same simulated time");
    now = std::max(now, dueAt);
    next.mapped()();
  }
  now = end;
}

bool SimulatedFleet::bernoulli(double probability) {
  return std::uniform_real_distribution<>(0, 1)(random_) < probability;
}

void SimulatedFleet::startGateway(std::uint32_t gateway) {
  Gateway& started = gateways_[gateway];
  started.sink = std::make_unique<EngineSink>(*this, gateway, ++lastIncarnation_);
  started.engine = std::make_unique<DecisionEngine>(settings, random_(), now, *started.sink);
  started.engine->allHostsUpdated(now, hostUpdates());
}

void SimulatedFleet::killGateway(std::uint32_t gateway) {
  for (auto& [id, request] : requests) {
    if (request.gateway != gateway) continue;
    request.finalAnswers = std::max(request.finalAnswers, 1);
    request.gateway = kNoGateway;
  }
  gateways_[gateway].engine.reset();
}

void SimulatedFleet::publishHosts() {
  for (const Gateway& gateway : gateways_)
    if (gateway.engine) gateway.engine->hostsUpdated(now, hostUpdates());
}

std::vector<HostUpdate> SimulatedFleet::hostUpdates() const {
  std::vector<HostUpdate> updates;
  for (std::uint32_t index = 0; index < hosts.size(); ++index) {
    const SimulatedHost& host = hosts[index];
    updates.push_back({{index}, host.zone, {host.zone.value}, {0}, host.serving, 1, host.startedAt});
  }
  return updates;
}

DecisionEngine* SimulatedFleet::engineOf(std::uint32_t gateway, std::uint64_t incarnation) const {
  const Gateway& running = gateways_[gateway];
  return running.sink->incarnation == incarnation ? running.engine.get() : nullptr;
}

SimulatedRequest& SimulatedFleet::sendRequest(std::uint32_t gateway, std::uint64_t customer,
                                              std::uint32_t plan, std::uint32_t method, double units,
                                              Duration timeout) {
  const RequestId id{++lastRequest_};
  SimulatedRequest& record = requests[id.value];
  record.request = {id, {customer}, {plan}, {method}, now + timeout, units, settings.gateways};
  record.gateway = gateway;
  record.arrivedAt = now;
  schedule(now + timeout + kAnswerSlack, [this, id] { invariants.checkAnswered(requests[id.value]); });
  gateways_[gateway].engine->requestArrived(now, record.request);
  return record;
}

void SimulatedFleet::applyUniformLoad(int steps) {
  constexpr int kFirstCustomer = 100;
  constexpr int kCustomers = 40;
  for (int step = 0; step < steps; ++step) {
    runFor(10ms);
    for (std::uint32_t gateway = 0; gateway < settings.gateways; ++gateway)
      sendRequest(gateway, kFirstCustomer + step % kCustomers, 0, 0, 1);
  }
}

int SimulatedFleet::servedRequests() const {
  return static_cast<int>(
      std::count_if(requests.begin(), requests.end(), [](const auto& entry) { return entry.second.served; }));
}

SimulatedFleet::AttemptEnd SimulatedFleet::drawAttemptEnd(const SimulatedRequest& request, HostId host,
                                                          TimePoint abandonAt) {
  const SimulatedHost& target = hosts[host.value];
  AttemptEnd end{request.request.requestId, request.attemptsStarted, host, Outcome::ok, target.serviceTime};
  if (target.unreachable) {
    end.outcome = Outcome::noConnection;
    end.duration = kConnectionRefusedDelay;
  } else if (target.rejectedPlan == request.request.plan.value || bernoulli(faults.hostRejects)) {
    end.outcome = Outcome::rejected;
    end.duration = kRejectionDelay;
  } else if (bernoulli(faults.attemptLost)) {
    end.outcome = bernoulli(0.5) ? Outcome::lost : Outcome::noConnection;
  } else if (target.failingMethod == request.request.method.value || bernoulli(faults.hostError)) {
    end.outcome = Outcome::error;
  }
  if (target.unresponsive || bernoulli(faults.hostUnresponsive) || now + end.duration > abandonAt) {
    end.outcome = Outcome::noResponse;
    end.duration = abandonAt - now;
  }
  return end;
}

void SimulatedFleet::endAttempt(std::uint32_t gateway, std::uint64_t incarnation, const AttemptEnd& end) {
  SimulatedRequest& request = requests[end.requestId.value];
  SimulatedHost& host = hosts[end.host.value];
  const bool inFlight = request.hostByAttempt.contains(end.attemptNumber);
  if (inFlight) --host.attemptsInFlight;
  DecisionEngine* const engine = engineOf(gateway, incarnation);
  if (!engine || !inFlight) return;
  request.hostByAttempt.erase(end.attemptNumber);
  --request.attemptsInFlight;
  const bool certainlyNotRun = end.outcome == Outcome::rejected || end.outcome == Outcome::noConnection;
  if (!certainlyNotRun) request.possibleExecutions.emplace_back(end.host, now - end.duration);
  if (end.outcome == Outcome::ok && request.finalAnswers == 0) {
    ++request.finalAnswers;
    request.served = true;
    request.answeredAt = now;
  }
  const double usedUnits = end.outcome == Outcome::ok ? request.request.units : 0;
  engine->attemptEnded(now, {end.requestId,
                             {end.attemptNumber},
                             end.host,
                             end.outcome,
                             request.finalAnswers > 0,
                             end.duration,
                             usedUnits,
                             host.reportedLoad});
}

}  // namespace merlinbridge::testing
