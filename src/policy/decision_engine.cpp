#include <algorithm>

#include "policy/count_slot.hpp"
#include "policy/engine_impl.hpp"

namespace merlinbridge {

using namespace policy;

namespace {

constexpr Duration kSweepInterval = std::chrono::milliseconds(50);

}  // namespace

void DecisionEngine::Impl::updateHosts(const std::vector<HostUpdate>& updates, bool complete) {
  if (complete) hosts_.retainOnly(updates);
  for (const HostUpdate& update : updates) {
    const bool fresh = hosts_.update(update);
    statistics_.add(update.host);
    outliers_.add(update.host);
    slowStart_.add(update.host);
    selection_.add(update.host);
    if (!fresh) continue;
    statistics_.reset(update.host);
    outliers_.reset(update.host);
    selection_.reset(update.host);
  }
}

CustomerState& DecisionEngine::Impl::customerOf(const Request& request) {
  const PolicySettings& settings = context_.settings;
  const std::uint32_t gateways = std::clamp(request.gateways, 1u, std::max(1u, settings.gateways));
  const auto [found, isNew] = customers_.try_emplace(
      request.customer, request.customer, settings.plans[request.plan.value], gateways, settings.maxUnits,
      CounterExchange::lookBack(settings), context_.startedAt, context_.now);
  found->second.lastSeen = context_.now;
  return found->second;
}

void DecisionEngine::Impl::admit(const Request& request) {
  CustomerState& customer = customerOf(request);
  exchange_.refill(customer);
  exchange_.schedule(customer);
  const QuotaBucket& bucket = customer.bucket;
  if (!bucket.admits(context_.now, request.units, context_.random))
    return reject(request, bucket.secondsUntil(request.units));
  if (!customer.concurrency.admits(bucket.share(), bucket.othersRate(), context_.random))
    return reject(request, statistics_.meanLatency());
  if (!customer.ceiling.admits(request.units))
    return reject(request, customer.ceiling.secondsUntil(request.units));
  if (!shedding_.admits(request)) return shed(request, statistics_.meanLatency());
  const auto [added, isNew] =
      requests_.emplace(request.requestId.value, RequestInFlight{request, context_.now, &customer});
  if (!startAttempt(added->second)) {
    shed(request, seconds(kSweepInterval));
    requests_.erase(request.requestId.value);
    return;
  }
  customer.ceiling.spend(request.units);
  customer.bucket.spend(request.units);
}

void DecisionEngine::Impl::reject(const Request& request, double retryAfterSeconds) {
  const PolicySettings& settings = context_.settings;
  const Duration retryAfter = std::clamp(durationOf(retryAfterSeconds), Duration{0}, settings.maxRetryAfter);
  context_.sink.reject(request.requestId, settings.allowRetryAfter ? retryAfter : Duration{0});
}

void DecisionEngine::Impl::shed(const Request& request, double retryAfterSeconds) {
  shedding_.recordShed();
  scheduleSweep(kSweepInterval);
  reject(request, retryAfterSeconds);
}

bool DecisionEngine::Impl::startAttempt(RequestInFlight& request) {
  const auto host = selection_.select(request.request, [&](HostId candidate) {
    const bool sameAgain = !request.attempts.empty() && request.attempts.back().host == candidate;
    return !sameAgain && retries_.allowsHost(request, candidate);
  });
  if (!host) return false;
  const std::size_t number = request.attempts.size();
  request.attempts.push_back({*host, context_.now, [this, &request, number](const AttemptResult& result) {
                                finishAttempt(request, number, result);
                              }});
  request.customer->concurrency.attemptStarted();
  statistics_.attemptStarted(*host);
  slowStart_.spend(*host, request.request.units);
  retries_.attemptStarted(number == 0);
  attemptsByStart_.push_back({request.request.requestId.value, number});
  context_.sink.startAttempt(request.request.requestId, *host,
                             {request.request.deadline, retries_.writeDeadline(request)});
  scheduleSweep(kSweepInterval);
  return true;
}

void DecisionEngine::Impl::finishAttempt(RequestInFlight& request, std::size_t number,
                                         const AttemptResult& result) {
  Attempt& attempt = request.attempts[number];
  attempt.inFlight = false;
  attempt.mayHaveRun = result.outcome != Outcome::rejected && result.outcome != Outcome::noConnection &&
                       result.outcome != Outcome::notSent;
  request.customer->concurrency.attemptEnded();
  statistics_.attemptEnded(result.host);
  learnFrom(result, request);
  account(result, request);
  request.answered = request.answered || result.requestAnswered;
  const bool retried = !request.answered && retries_.allowsRetry(request) && startAttempt(request);
  if (request.hasAttemptInFlight()) return;
  if (!request.answered && !retried) giveUp(request);
  requests_.erase(request.request.requestId.value);
}

void DecisionEngine::Impl::learnFrom(const AttemptResult& result, const RequestInFlight& request) {
  if (result.outcome == Outcome::cancelled || result.outcome == Outcome::notSent) return;
  statistics_.recordOutcome(request.request, result);
  if (result.outcome == Outcome::noConnection || result.outcome == Outcome::lost)
    outliers_.recordUnreachable(result.host);
  if (result.outcome != Outcome::ok) return;
  outliers_.recordAnswer(result.host);
  if (result.load.inFlight && result.load.answersPerSecond) {
    const Method& method = context_.settings.methods[request.request.method.value];
    shedding_.recordLoad(result.load, method);
    outliers_.recordLoad(result.host, result.load, method);
  }
  slowStart_.recordAnswer(result.host, request.request.units);
}

void DecisionEngine::Impl::account(const AttemptResult& result, const RequestInFlight& request) {
  CustomerState& customer = *request.customer;
  if (ConcurrencyLimit::publishesUsage(customer.plan)) customer.bucket.recordUse(seconds(result.took));
  if (result.outcome == Outcome::ok && result.trueUnits > 0)
    customer.bucket.correct(result.trueUnits - request.request.units);
}

void DecisionEngine::Impl::giveUp(RequestInFlight& request) {
  request.answered = true;
  if (retries_.clientMayRepeat(request)) return reject(request.request, 0);
  context_.sink.fail(request.request.requestId);
}

void DecisionEngine::Impl::handleOverdue(RequestInFlight& request, std::size_t number) {
  const Attempt& attempt = request.attempts[number];
  statistics_.recordOverdue(attempt.host, context_.now - attempt.startedAt);
  if (request.answered || !retries_.allowsHedge(request)) return;
  if (context_.settings.allowHedging)
    startAttempt(request);
  else if (context_.settings.allowCancel)
    context_.sink.cancel(request.request.requestId, {static_cast<std::uint32_t>(number)});
}

void DecisionEngine::Impl::sweep() {
  sweepAttempts();
  shedding_.sweep();
  forgetIdleCustomers();
  if (statistics_.inFlight() > 0 || shedding_.active()) scheduleSweep(kSweepInterval);
}

void DecisionEngine::Impl::sweepAttempts() {
  for (std::size_t left = attemptsByStart_.size(); left > 0; --left) {
    const AttemptRef ref = attemptsByStart_.front();
    attemptsByStart_.pop_front();
    const auto found = requests_.find(ref.request);
    if (found == requests_.end()) continue;
    const Attempt& attempt = found->second.attempts[ref.number];
    if (!attempt.inFlight) continue;
    if (statistics_.overdue(attempt.host, attempt.startedAt))
      handleOverdue(found->second, ref.number);
    else
      attemptsByStart_.push_back(ref);
  }
}

void DecisionEngine::Impl::forgetIdleCustomers() {
  if (context_.now - customersSweptAt_ <= slotLength()) return;
  customersSweptAt_ = context_.now;
  std::erase_if(customers_, [this](const auto& entry) {
    const CustomerState& customer = entry.second;
    return CounterExchange::idle(customer) && customer.concurrency.idle() &&
           context_.now - customer.lastSeen > countRetention();
  });
}

}  // namespace merlinbridge
