#include "policy/host_statistics.hpp"

#include <algorithm>
#include <cmath>

namespace merlinbridge::policy {
namespace {

/// Smallest weight of a response in the smoothed latency of its host, 0 to 1.
constexpr double kMinLatencyGain = 0.06;

/// Largest weight of a response in the smoothed latency of its host, 0 to 1. Used if the previous response
/// was long ago.
constexpr double kMaxLatencyGain = 0.3;

/// Time constant, in seconds, with which the weight grows with the time since the previous response.
constexpr double kLatencyDecaySeconds = 10.0;

/// Weight of a response in the mean latency of all hosts, 0 to 1.
constexpr double kMeanLatencyGain = kMinLatencyGain / 4;

/// Time constant, in seconds, of the counts of successes and failures.
constexpr double kOutcomeDecaySeconds = 20.0;

/// Successes added to the counted ones, so that a host that has only failed is tried again.
constexpr double kOutcomePrior = 0.1;

/// Time constant, in seconds, of the count of responses from which the capacity is calculated.
constexpr double kResponseDecaySeconds = 4.5;

/// Lower bound of the capacity calculated from a host's responses, in attempts in flight of all gateways
/// together.
constexpr double kMinCapacity = 3.0;

/// Added to that capacity, in attempts in flight of all gateways together.
constexpr double kSpareCapacity = 2.0;

/// Time that a request may wait at a host, as a fraction of the method's soft deadline.
constexpr double kQueueTimeFraction = 0.2;

/// A host with attempts in flight is unresponsive after this many mean latencies without a response.
constexpr double kUnresponsiveLatencies = 5.0;

/// Attempts at a host can be overdue after this multiple of the time after which it is unresponsive.
constexpr double kOverdueFactor = 2.0;

}  // namespace

void HostStatistics::add(HostId host) {
  const std::size_t size = host.value + 1;
  if (size <= latency_.size()) return;
  const std::size_t outcomesPerHost = context_.settings.methods.size() + context_.settings.plans.size();
  latency_.resize(size);
  inFlight_.resize(size);
  lastReceivedAt_.resize(size);
  responses_.resize(size);
  outcomes_.resize(size, std::vector<Outcomes>(outcomesPerHost));
}

void HostStatistics::reset(HostId host) {
  std::vector<Outcomes>& outcomes = outcomes_[host.value];
  std::fill(outcomes.begin(), outcomes.end(), Outcomes{});
  latency_[host.value] = 0;
  responses_[host.value] = {};
}

void HostStatistics::attemptStarted(HostId host) {
  if (inFlight_[host.value] == 0) lastReceivedAt_[host.value] = context_.now;
  ++inFlight_[host.value];
  ++totalInFlight_;
}

void HostStatistics::attemptEnded(HostId host) {
  --inFlight_[host.value];
  --totalInFlight_;
}

void HostStatistics::recordOutcome(const Request& request, const AttemptResult& result) {
  const HostId host = result.host;
  const Outcome outcome = result.outcome;
  const bool ok = outcome == Outcome::ok;
  const bool rejected = outcome == Outcome::rejected;
  // Rejections are counted by plan; errors and missing responses are counted by method.
  if (ok || outcome == Outcome::error || outcome == Outcome::noResponse)
    countOutcome(outcomesOf(host, request.method), ok);
  if (ok || rejected) countOutcome(outcomesOf(host, request.plan), ok);
  const TimePoint previouslyReceivedAt = lastReceivedAt_[host.value];
  const bool receivedFromHost = outcome != Outcome::noResponse && outcome != Outcome::noConnection;
  if (receivedFromHost) lastReceivedAt_[host.value] = context_.now;
  if (!ok) return;
  recordLatency(host, seconds(result.duration), previouslyReceivedAt);
  responses_[host.value].add(context_.now, kResponseDecaySeconds, 1);
  allResponses_.add(context_.now, kResponseDecaySeconds, 1);
}

void HostStatistics::countOutcome(Outcomes& outcomes, bool succeeded) const {
  util::DecayingCounter& counter = succeeded ? outcomes.succeeded : outcomes.failed;
  counter.add(context_.now, kOutcomeDecaySeconds, 1);
}

void HostStatistics::recordOverdue(HostId host, Duration elapsed) {
  recordLatency(host, seconds(elapsed), TimePoint{});
}

void HostStatistics::recordLatency(HostId host, double latencySeconds, TimePoint previouslyReceivedAt) {
  double& latency = latency_[host.value];
  if (latency <= 0) latency = meanLatency_ > 0 ? meanLatency_ : latencySeconds;
  const double age = seconds(context_.now - previouslyReceivedAt);
  const double gain = std::clamp(1 - std::exp(-age / kLatencyDecaySeconds), kMinLatencyGain, kMaxLatencyGain);
  latency += gain * (latencySeconds - latency);
  if (meanLatency_ <= 0) meanLatency_ = latencySeconds;
  meanLatency_ += kMeanLatencyGain * (latencySeconds - meanLatency_);
}

double HostStatistics::relativeSpeed(HostId host) const {
  const double latency = latency_[host.value];
  return latency > 0 && meanLatency_ > 0 ? meanLatency_ / latency : 1;
}

bool HostStatistics::silentFor(HostId host, double limitFactor) const {
  const bool awaitsResponse = inFlight_[host.value] > 0;
  return awaitsResponse && meanLatency_ > 0 &&
         seconds(context_.now - lastReceivedAt_[host.value]) >
             limitFactor * kUnresponsiveLatencies * meanLatency_;
}

bool HostStatistics::unresponsive(HostId host) const {
  return silentFor(host, 1);
}

bool HostStatistics::overdue(HostId host, TimePoint startedAt) const {
  const double elapsed = seconds(context_.now - startedAt);
  return silentFor(host, kOverdueFactor) && elapsed > kUnresponsiveLatencies * meanLatency_;
}

std::size_t HostStatistics::outcomeIndex(PlanId plan) const {
  return context_.settings.methods.size() + plan.value;
}

HostStatistics::Outcomes& HostStatistics::outcomesOf(HostId host, MethodId method) {
  return outcomes_[host.value][method.value];
}

HostStatistics::Outcomes& HostStatistics::outcomesOf(HostId host, PlanId plan) {
  return outcomes_[host.value][outcomeIndex(plan)];
}

double HostStatistics::successFraction(const Outcomes& outcomes) const {
  if (!outcomes.failed.hasCounted()) return 1;
  const double succeeded = outcomes.succeeded.read(context_.now, kOutcomeDecaySeconds) + kOutcomePrior;
  return succeeded / (succeeded + outcomes.failed.read(context_.now, kOutcomeDecaySeconds));
}

double HostStatistics::successFraction(HostId host, MethodId method, PlanId plan) const {
  const std::vector<Outcomes>& outcomes = outcomes_[host.value];
  const double fraction =
      successFraction(outcomes[method.value]) * successFraction(outcomes[outcomeIndex(plan)]);
  // Squared, so that a failing host gets fewer requests than its rate of successes alone would give it.
  return fraction * fraction;
}

double HostStatistics::capacity(HostId host, const Method& method) const {
  const double gateways = context_.settings.gateways;
  const double responsesPerSecond =
      responses_[host.value].read(context_.now, kResponseDecaySeconds) / kResponseDecaySeconds;
  const double responsesInQueueTime = responsesPerSecond * kQueueTimeFraction * seconds(method.softDeadline);
  return std::max(kMinCapacity / gateways, responsesInQueueTime) + kSpareCapacity / gateways;
}

double HostStatistics::totalCapacity(const Method& method, double hosts) const {
  const double queueTime = kQueueTimeFraction * seconds(method.softDeadline);
  const double responsesPerSecond =
      allResponses_.read(context_.now, kResponseDecaySeconds) / kResponseDecaySeconds;
  return std::max(kMinCapacity * hosts, responsesPerSecond * queueTime) + kSpareCapacity * hosts;
}

double HostStatistics::reportedCapacity(double responsesPerSecond, const Method& method) {
  return responsesPerSecond * kQueueTimeFraction * seconds(method.softDeadline) + kSpareCapacity;
}

}  // namespace merlinbridge::policy
