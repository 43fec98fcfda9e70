#include "emulator/client_population.hpp"

#include <algorithm>
#include <cmath>

namespace merlinbridge::emulator {
namespace {

using core::SlotRef;

/// While the arrival rate is 0, it is checked again after this interval, because a fault may change it.
constexpr Duration kZeroRatePollInterval = std::chrono::milliseconds(100);
constexpr double kMaxArrivalGapSeconds = 1e4;
/// A request's units are capped at this multiple of their mean.
constexpr double kMaxUnitsToMeanRatio = 4;
constexpr double kLateUtilityFactor = 0.5;  ///< Applied to a result received after the soft deadline.
constexpr int kMaxBackoffDoublings = 10;

}  // namespace

std::size_t WeightedChoice::indexFor(double draw) const {
  const auto above = std::upper_bound(sums_.begin(), sums_.end(), draw * sums_.back());
  return std::min(sums_.size() - 1, static_cast<std::size_t>(above - sums_.begin()));
}

ClientPopulation::ClientPopulation(RunContext& run, std::uint64_t seed, Network& network,
                                   const ActiveFaults& faults, const FrontLoadBalancer& loadBalancer,
                                   RequestReceiver& gateways)
    : run_(run),
      network_(network),
      faults_(faults),
      loadBalancer_(loadBalancer),
      gateways_(gateways),
      arrivals_(seed, "arrivals"),
      choices_(seed, "choices") {
  const Scenario& scenario = run.scenario();
  for (std::uint32_t customer = 0; customer < scenario.customers; ++customer)
    customers_.add(std::pow(double(customer) + 1, -scenario.skew));
  for (const ScenarioMethod& method : scenario.methods) methods_.add(method.share);
  for (const ScenarioPlan& plan : scenario.plans) plans_.add(plan.share);
}

std::optional<ClientAttemptId> ClientPopulation::idOf(SlotRef clientAttempt) {
  const ClientAttempt* const attempt = attempts_.find(clientAttempt);
  if (!attempt) return std::nullopt;
  return attempt->id;
}

const ClientRequest* ClientPopulation::requestOf(SlotRef clientAttempt) {
  const ClientAttempt* const attempt = attempts_.find(clientAttempt);
  return attempt ? requests_.find(attempt->request) : nullptr;
}

void ClientPopulation::setInsideQuota(SlotRef clientAttempt, bool inside) {
  if (ClientAttempt* const attempt = attempts_.find(clientAttempt)) attempt->insideQuota = inside;
}

void ClientPopulation::scheduleArrival() {
  const Scenario& scenario = run_.scenario();
  const double rate = scenario.rate * faults_.factor(FaultKind::loadBurst);
  const Duration gap =
      rate > 0 ? durationFromSeconds(std::min(kMaxArrivalGapSeconds, arrivals_.exponential(1 / rate)))
               : kZeroRatePollInterval;
  const TimePoint at = run_.now() + gap;
  if (at > kRunStart + scenario.length) return;
  run_.events().at(at, [this, rate] {
    if (rate > 0) sendRequest();
    scheduleArrival();
  });
}

double ClientPopulation::drawUnits() {
  const double mean = run_.scenario().units;
  if (mean <= 0) return 0;
  return std::clamp(std::round(arrivals_.exponential(mean)), std::min(1.0, mean),
                    std::max(1.0, kMaxUnitsToMeanRatio * mean));
}

void ClientPopulation::sendRequest() {
  const Scenario& scenario = run_.scenario();
  ClientRequest request;
  request.customer = static_cast<std::uint64_t>(customers_.indexFor(arrivals_.uniform01())) + 1;
  request.method = static_cast<std::uint32_t>(methods_.indexFor(arrivals_.uniform01()));
  // A customer has the same plan in every run.
  const double customerHash = double((request.customer * 0x9e3779b97f4a7c15u) >> 11) * 0x1p-53;
  request.plan = static_cast<std::uint32_t>(plans_.indexFor(customerHash));
  request.units = drawUnits();
  const Duration timeout = scenario.methods[request.method].deadline;
  request.startedAt = run_.now();
  request.deadline = request.startedAt + timeout;
  request.attemptsLeft = scenario.maxClientAttempts;
  const SlotRef ref = requests_.add(request);
  ++run_.metrics().requests;
  ++run_.currentSecond().requests;
  run_.metrics().utilityOffered += utilityOf(request);
  const bool beforeDeadline = arrivals_.bernoulli(scenario.abandonProbability);
  const TimePoint until =
      beforeDeadline ? request.startedAt + scaled(timeout, arrivals_.uniform01())
                     : request.deadline + 2 * scenario.answerSlack + 2 * (scenario.delay + scenario.jitter);
  run_.events().at(until, [this, ref, beforeDeadline] { abandonRequest(ref, beforeDeadline); });
  startAttempt(ref);
}

double ClientPopulation::utilityOf(const ClientRequest& request) const {
  const Scenario& scenario = run_.scenario();
  return scenario.methods[request.method].utility * scenario.plans[request.plan].plan.price * request.units;
}

void ClientPopulation::startAttempt(SlotRef ref) {
  ClientRequest& request = *requests_.find(ref);
  if (request.attemptsLeft-- <= 0 || run_.now() >= request.deadline) return failRequest(ref);
  ++request.attemptsMade;
  ++run_.metrics().clientAttempts;
  const std::uint32_t gateway = loadBalancer_.choose(request.customer, choices_.uniform01());
  const ClientAttemptId id{++lastAttemptId_};
  request.currentAttempt = attempts_.add(ClientAttempt{ref, id, gateways_.processOf(gateway), false});
  run_.events().after(network_.delay(), [this, attempt = request.currentAttempt] { reachGateway(attempt); });
}

void ClientPopulation::reachGateway(SlotRef ref) {
  ClientAttempt* const attempt = attempts_.find(ref);
  if (!attempt) return;
  attempt->gateway = gateways_.processOf(attempt->gateway.gateway);
  if (!gateways_.isRunning(attempt->gateway)) {
    ++run_.metrics().gatewayUnreachable;
    run_.events().after(network_.delay(), [this, ref] { endAttempt(ref, Retry::allowed, Duration{0}); });
    return;
  }
  const ClientRequest& request = *requests_.find(attempt->request);
  const std::uint32_t gateway = attempt->gateway.gateway;
  run_.checker().requestReceived(
      run_.now(), attempt->id,
      {{gateway}, request.method, request.plan, request.customer, request.units, request.deadline});
  run_.metrics().maxInFlight = std::max(run_.metrics().maxInFlight, run_.checker().openRequestCount());
  run_.trace(TraceEvent::requestReceived, attempt->id.value);
  Request forGateway;
  forGateway.customer = {request.customer};
  forGateway.plan = {request.plan};
  forGateway.method = {request.method};
  forGateway.deadline = request.deadline;
  forGateway.units = request.units;
  forGateway.gateways = loadBalancer_.spread();
  gateways_.requestArrived(gateway, ref, forGateway);
}

// Ends an attempt that got no result, and retries or fails the request.
void ClientPopulation::endAttempt(SlotRef ref, Retry retry, Duration retryAfter) {
  const ClientAttempt* const attempt = attempts_.find(ref);
  if (!attempt) return;
  const SlotRef requestRef = attempt->request;
  attempts_.drop(ref);
  ClientRequest* const request = requests_.find(requestRef);
  if (!request) return;
  request->currentAttempt = {};
  if (retry == Retry::forbidden) return failRequest(requestRef);
  const Scenario& scenario = run_.scenario();
  const int doublings = std::min(kMaxBackoffDoublings, request->attemptsMade - 1);
  Duration wait = scaled(scenario.initialBackoff, (0.5 + choices_.uniform01()) * double(1 << doublings));
  if (retryAfter > Duration{0} && choices_.bernoulli(scenario.honorsRetryAfter))
    wait = std::max(wait, retryAfter);
  if (run_.now() + wait >= request->deadline || request->attemptsLeft <= 0) return failRequest(requestRef);
  run_.events().after(wait, [this, requestRef] {
    if (requests_.find(requestRef)) startAttempt(requestRef);
  });
}

// Whether a client may retry a request that a host may already have executed: executing it twice must have no
// second effect.
ClientPopulation::Retry ClientPopulation::retryAfterFailure(const ClientRequest& request) const {
  const ScenarioMethod& method = run_.scenario().methods[request.method];
  const bool deduplicated = method.idempotency == Idempotency::deduplicated &&
                            method.deduplicationScope == DeduplicationScope::all &&
                            run_.now() < request.startedAt + method.deduplicationWindow;
  return method.idempotency == Idempotency::idempotent || deduplicated ? Retry::allowed : Retry::forbidden;
}

void ClientPopulation::countFailure() {
  ++run_.metrics().failed;
  ++run_.currentSecond().failed;
}

void ClientPopulation::failRequest(SlotRef ref) {
  if (!requests_.find(ref)) return;
  countFailure();
  run_.trace(TraceEvent::requestFailed);
  requests_.drop(ref);
}

void ClientPopulation::abandonRequest(SlotRef ref, bool beforeDeadline) {
  const ClientRequest* const request = requests_.find(ref);
  if (!request) return;
  const SlotRef attempt = request->currentAttempt;
  if (beforeDeadline)
    ++run_.metrics().abandoned;
  else
    countFailure();
  requests_.drop(ref);
  closeConnection(attempt);
}

void ClientPopulation::closeConnection(SlotRef ref) {
  const ClientAttempt* const attempt = attempts_.find(ref);
  if (!attempt) return;
  // Captured now, because a later incarnation of the gateway's process does not know this connection.
  const ProcessRef gateway = attempt->gateway;
  run_.events().after(network_.delay(), [this, ref, id = attempt->id, gateway] {
    if (!attempts_.find(ref)) return;
    if (gateways_.isRunning(gateway)) {
      run_.checker().clientDisconnected(run_.now(), id);
      gateways_.clientDisconnected(gateway.gateway, ref);
    }
    attempts_.drop(ref);
  });
}

void ClientPopulation::answerSent(SlotRef clientAttempt, Answer answer, Duration retryAfter) {
  const ClientAttempt* const attempt = attempts_.find(clientAttempt);
  if (!attempt) return;
  run_.checker().requestAnswered(run_.now(), attempt->id, answer);
  run_.events().after(network_.delay(), [this, clientAttempt, answer, retryAfter] {
    receiveAnswer(clientAttempt, answer, retryAfter);
  });
}

void ClientPopulation::receiveAnswer(SlotRef ref, Answer answer, Duration retryAfter) {
  const ClientAttempt* const attempt = attempts_.find(ref);
  if (!attempt) return;
  const ClientRequest* const request = requests_.find(attempt->request);
  if (!request) return attempts_.drop(ref);
  run_.trace(TraceEvent::answerReceived, static_cast<std::uint64_t>(answer));
  switch (answer) {
    case Answer::ok:
      return receiveResult(ref, *request);
    case Answer::rejected:
      ++run_.metrics().rejected;
      ++run_.currentSecond().rejected;
      return endAttempt(ref, Retry::allowed, retryAfter);
    case Answer::failed:
      ++run_.metrics().failedAnswers;
      return endAttempt(ref, retryAfterFailure(*request), retryAfter);
  }
}

void ClientPopulation::receiveResult(SlotRef ref, const ClientRequest& request) {
  const ClientAttempt& attempt = *attempts_.find(ref);
  const Duration latency = run_.now() - request.startedAt;
  const bool inTime = latency <= run_.scenario().methods[request.method].softDeadline;
  Metrics& metrics = run_.metrics();
  ++(inTime ? metrics.inTime : metrics.late);
  ++(inTime ? run_.currentSecond().inTime : run_.currentSecond().late);
  if (attempt.insideQuota) metrics.utilityServed += utilityOf(request) * (inTime ? 1 : kLateUtilityFactor);
  metrics.latency.add(latency);
  const SlotRef requestRef = attempt.request;
  attempts_.drop(ref);
  requests_.drop(requestRef);
}

void ClientPopulation::gatewayDied(const ProcessRef& gateway) {
  std::vector<SlotRef> connected;
  attempts_.forEach([&](SlotRef ref, const ClientAttempt& attempt) {
    if (attempt.gateway == gateway) connected.push_back(ref);
  });
  for (const SlotRef ref : connected)
    run_.events().after(network_.delay(), [this, ref] {
      const ClientRequest* const request = requestOf(ref);
      endAttempt(ref, request ? retryAfterFailure(*request) : Retry::forbidden, Duration{0});
    });
}

}  // namespace merlinbridge::emulator
