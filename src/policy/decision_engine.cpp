#include "policy_api/decision_engine.hpp"

#include <algorithm>
#include <utility>

#include "policy/engine_impl.hpp"

namespace merlinbridge {

using namespace policy;

namespace {

/// Time between sweeps. Also the Retry-After of a request for which no host is available.
constexpr Duration kSweepInterval = std::chrono::milliseconds(50);

}  // namespace

DecisionEngine::Impl::Impl(PolicySettings settings, std::uint64_t seed, TimePoint now, DecisionSink& sink)
    : context_(std::move(settings), seed, now, sink) {}

void DecisionEngine::Impl::advanceTo(TimePoint now) {
  context_.now = now;
}

void DecisionEngine::Impl::updateAllHosts(const std::vector<HostUpdate>& updates) {
  hosts_.markUnlistedNotServing(updates);
  updateHosts(updates);
}

void DecisionEngine::Impl::updateHosts(const std::vector<HostUpdate>& updates) {
  for (const HostUpdate& update : updates) updateHost(update);
}

void DecisionEngine::Impl::updateHost(const HostUpdate& update) {
  const bool needsReset = hosts_.update(update);
  statistics_.add(update.host);
  outliers_.add(update.host);
  slowStart_.add(update.host);
  identity_.add(update.host);
  selection_.add(update.host);
  if (!needsReset) return;
  statistics_.reset(update.host);
  outliers_.reset(update.host);
  identity_.reset(update.host);
  selection_.reset(update.host);
}

CustomerState* DecisionEngine::Impl::currentCustomer(const Request& request) {
  CustomerState* const customer = customers_.findOrCreate(request);
  if (customer == nullptr) return nullptr;
  exchange_.refill(*customer);
  exchange_.scheduleCall(*customer);
  return customer;
}

std::optional<Duration> DecisionEngine::Impl::rejectionInAdvance(const Request& request) {
  const CustomerState* const customer = currentCustomer(request);
  if (customer == nullptr) return retryAfter(seconds(kSweepInterval));
  const QuotaBucket& bucket = customer->bucket;
  const HardCeiling& ceiling = customer->ceiling;
  if (!bucket.mayAdmit(context_.now, request.units)) return retryAfter(bucket.secondsUntil(request.units));
  if (!ceiling.admits(request.units)) return retryAfter(ceiling.secondsUntil(request.units));
  return std::nullopt;
}

void DecisionEngine::Impl::admit(const Request& request) {
  CustomerState* const customer = currentCustomer(request);
  if (customer == nullptr) return reject(request, seconds(kSweepInterval));
  if (const auto limitedFor = retryAfterIfLimited(request, *customer)) return reject(request, *limitedFor);
  if (!shedding_.admits(request)) return shed(request, statistics_.meanLatency());
  RequestInFlight& added = requests_.add(request, context_.now, *customer);
  if (!startAttempt(added)) {
    shed(request, seconds(kSweepInterval));
    requests_.remove(request.requestId);
    return;
  }
  customer->everAdmitted = true;
  customer->ceiling.spend(request.units);
  customer->bucket.spend(request.units);
}

std::optional<double> DecisionEngine::Impl::retryAfterIfLimited(const Request& request,
                                                                const CustomerState& customer) {
  const QuotaBucket& bucket = customer.bucket;
  if (!bucket.admits(context_.now, request.units, context_.random)) return bucket.secondsUntil(request.units);
  if (!customer.concurrency.admits(bucket.quotaFraction(), bucket.othersRate(), context_.random))
    return statistics_.meanLatency();
  if (!customer.ceiling.admits(request.units)) return customer.ceiling.secondsUntil(request.units);
  return std::nullopt;
}

Duration DecisionEngine::Impl::retryAfter(double seconds) const {
  const PolicySettings& settings = context_.settings;
  if (!settings.allowRetryAfter) return Duration{0};
  return std::clamp(durationFromSeconds(seconds), Duration{0}, settings.maxRetryAfter);
}

void DecisionEngine::Impl::reject(const Request& request, double retryAfterSeconds) {
  context_.sink.reject(request.requestId, retryAfter(retryAfterSeconds));
}

void DecisionEngine::Impl::shed(const Request& request, double retryAfterSeconds) {
  shedding_.recordShed();
  scheduleSweep();
  reject(request, retryAfterSeconds);
}

std::optional<HostId> DecisionEngine::Impl::selectHost(const RequestInFlight& request) {
  return selection_.select(request.request, [&](HostId candidate) {
    const bool isPreviousHost = !request.attempts.empty() && request.attempts.back().host() == candidate;
    return !isPreviousHost && retries_.allowsHost(request, candidate);
  });
}

bool DecisionEngine::Impl::startAttempt(RequestInFlight& request) {
  const auto host = selectHost(request);
  if (!host) return false;
  const auto kind =
      request.attempts.empty() ? RetryPolicy::AttemptKind::first : RetryPolicy::AttemptKind::further;
  request.attempts.emplace_back(*host, context_.now, hosts_.deduplicationDomain(*host));
  request.customer->concurrency.attemptStarted();
  statistics_.attemptStarted(*host);
  slowStart_.spend(*host, request.request.units);
  retries_.attemptStarted(kind);
  requests_.attemptStarted(request);
  const AttemptDeadline deadline{request.request.deadline, retries_.writeDeadline(request)};
  context_.sink.startAttempt(request.request.requestId, *host, deadline);
  scheduleSweep();
  return true;
}

void DecisionEngine::Impl::endAttempt(const AttemptResult& result) {
  RequestInFlight* const request = requests_.find(result.requestId);
  if (request == nullptr || result.attemptNumber.value >= request->attempts.size()) return;
  if (request->attempts[result.attemptNumber.value].inFlight()) finishAttempt(*request, result);
}

void DecisionEngine::Impl::finishAttempt(RequestInFlight& request, const AttemptResult& result) {
  request.attempts[result.attemptNumber.value].end(result.outcome);
  request.customer->concurrency.attemptEnded();
  statistics_.attemptEnded(result.host);
  recordResult(result, request);
  recordUsage(result, request);
  request.answered = request.answered || result.requestAnswered;
  const bool retried = !request.answered && retries_.allowsRetry(request) && startAttempt(request);
  if (request.hasAttemptInFlight()) return;
  if (!request.answered && !retried) rejectOrFail(request);
  requests_.remove(request.request.requestId);
}

void DecisionEngine::Impl::recordResult(const AttemptResult& result, const RequestInFlight& request) {
  if (result.outcome == Outcome::cancelled || result.outcome == Outcome::notSent) return;
  statistics_.recordOutcome(request.request, result);
  if (result.outcome == Outcome::noConnection || result.outcome == Outcome::lost) {
    outliers_.recordUnreachable(result.host);
    identity_.recordBroken(result.host);
  }
  if (result.outcome != Outcome::ok) return;
  outliers_.recordResponse(result.host);
  if (const auto load = usableLoad(result.load)) {
    const Method& method = context_.settings.methods[request.request.method.value];
    shedding_.recordLoad(*load, method);
    outliers_.recordLoad(result.host, *load, method);
  }
  slowStart_.recordResponse(result.host, request.request.units);
}

void DecisionEngine::Impl::recordUsage(const AttemptResult& result, const RequestInFlight& request) {
  CustomerState& customer = *request.customer;
  if (ConcurrencyLimit::publishesUsage(customer.plan)) customer.bucket.recordUsage(seconds(result.duration));
  const bool hasTrueUnits = result.outcome == Outcome::ok && result.trueUnits > 0;
  if (hasTrueUnits) customer.bucket.correct(result.trueUnits - request.request.units);
}

void DecisionEngine::Impl::rejectOrFail(RequestInFlight& request) {
  request.answered = true;
  if (retries_.clientMayRetry(request)) return reject(request.request, 0);
  context_.sink.fail(request.request.requestId);
}

void DecisionEngine::Impl::markAnswered(RequestId id) {
  if (RequestInFlight* const request = requests_.find(id)) request->answered = true;
}

void DecisionEngine::Impl::endCounterCall(const CounterKey& key, CounterCallOutcome outcome, double total,
                                          Duration duration) {
  exchange_.callEnded(key, outcome, total, duration);
}

void DecisionEngine::Impl::fireTimer(TimerId timer) {
  context_.timers.fire(timer);
}

void DecisionEngine::Impl::scheduleSweep() {
  if (sweepScheduled_) return;
  sweepScheduled_ = true;
  context_.runAt(context_.now + kSweepInterval, [this] {
    sweepScheduled_ = false;
    sweep();
  });
}

void DecisionEngine::Impl::sweep() {
  requests_.sweepAttempts(
      [this](RequestInFlight& request, AttemptNumber number) { return checkAttempt(request, number); });
  shedding_.sweep();
  customers_.sweep();
  if (statistics_.inFlight() > 0 || shedding_.active()) scheduleSweep();
}

RequestTable::CheckResult DecisionEngine::Impl::checkAttempt(RequestInFlight& request, AttemptNumber number) {
  const Attempt& attempt = request.attempts[number.value];
  if (!statistics_.overdue(attempt.host(), attempt.startedAt())) return RequestTable::CheckResult::again;
  handleOverdue(request, number);
  return RequestTable::CheckResult::done;
}

void DecisionEngine::Impl::handleOverdue(RequestInFlight& request, AttemptNumber number) {
  const Attempt& attempt = request.attempts[number.value];
  statistics_.recordOverdue(attempt.host(), context_.now - attempt.startedAt());
  if (request.answered || !retries_.allowsHedge(request)) return;
  if (context_.settings.allowHedging)
    startAttempt(request);
  else if (context_.settings.allowCancel)
    context_.sink.cancel(request.request.requestId, number);
}

}  // namespace merlinbridge
