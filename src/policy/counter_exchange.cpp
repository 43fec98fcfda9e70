#include "policy/counter_exchange.hpp"

#include <algorithm>

#include "policy/count_slot.hpp"

namespace merlinbridge::policy {
namespace {

/// Time constant of the averages of a customer's usage, in rounds.
constexpr double kLookBackRounds = 8.0;

/// Lower bound for the counter timeout in seconds, because it is used as a divisor.
constexpr double kMinTimeoutSeconds = 1e-3;

// The call rate of all gateways together, in calls per counter timeout; each gateway has an equal part.
constexpr double kInitialCallsPerTimeout = 12.0;  ///< Rate at the start of a gateway.
constexpr double kMaxCallsPerTimeout = 120.0;     ///< Upper bound.
constexpr double kMinCallsPerTimeout = 0.6;  ///< Lower bound, so that a recovery of the service is noticed.

/// Customers that may wait in the queue of calls. Further ones have no call until their next request.
constexpr std::size_t kMaxQueuedCalls = 4096;

/// The same for a customer of whom no request was admitted yet, whose call has nothing to add: a flood of
/// made-up customers must not delay the calls of the others.
constexpr std::size_t kMaxQueuedCallsWithoutUsage = 64;

/// A response is late if it takes at least this fraction of the counter timeout. A failed call counts as
/// late.
constexpr double kLateResponseFraction = 0.5;

/// Factor by which a late response reduces the call rate, at most once per counter timeout.
constexpr double kCallRateCutFactor = 0.7;

/// A response is quick if it takes less than this fraction of the counter timeout.
constexpr double kQuickResponseFraction = 0.25;

/// Calls per counter timeout by which a quick response raises the call rate; multiplied by the rate itself if
/// that is below 1.
constexpr double kCallRateIncrease = 0.1;

}  // namespace

CounterExchange::CounterExchange(EngineContext& context)
    : context_(context),
      pacer_(kInitialCallsPerTimeout / context.settings.gateways, context.startedAt),
      health_(context) {}

double CounterExchange::lookBackSeconds(const PolicySettings& settings) {
  return kLookBackRounds * seconds(CounterHealth::roundLength(settings));
}

bool CounterExchange::idle(const CustomerState& customer) {
  return customer.round.state == CounterRound::State::idle;
}

double CounterExchange::callRatePeriodSeconds() const {
  return std::max(kMinTimeoutSeconds, seconds(context_.settings.counterTimeout));
}

void CounterExchange::refill(CustomerState& customer) const {
  customer.bucket.refill(context_.now);
  if (health_.unreachable()) customer.bucket.divide();
  customer.ceiling.refill(context_.now);
}

void CounterExchange::scheduleCall(CustomerState& customer) {
  const bool hasQuota = customer.plan.rate > 0;
  const bool publishes = hasQuota || ConcurrencyLimit::publishesUsage(customer.plan);
  if (!context_.settings.hasCounter || !publishes) return;
  customer.round.requestedSinceCall = true;
  if (!idle(customer)) return;
  customer.round.state = CounterRound::State::queued;
  const TimePoint dueAt = customer.round.startedAt + CounterHealth::roundLength(context_.settings);
  if (dueAt <= context_.now) return enqueue(customer);
  context_.runAt(dueAt, [this, &customer] { enqueue(customer); });
}

void CounterExchange::enqueue(CustomerState& customer) {
  const std::size_t maxQueued = customer.everAdmitted ? kMaxQueuedCalls : kMaxQueuedCallsWithoutUsage;
  if (queue_.size() >= maxQueued) {
    customer.round.state = CounterRound::State::idle;
    return;
  }
  queue_.push_back(&customer);
  drainQueue();
}

void CounterExchange::drainQueue() {
  pacer_.refill(context_.now, callRatePeriodSeconds());
  startDueCalls();
  if (queue_.empty() || drainScheduled_) return;
  drainScheduled_ = true;
  context_.runAt(context_.now + pacer_.untilNext(callRatePeriodSeconds()), [this] {
    drainScheduled_ = false;
    drainQueue();
  });
}

void CounterExchange::startDueCalls() {
  while (!queue_.empty() && pacer_.mayStart()) {
    CustomerState& customer = *queue_.front();
    queue_.pop_front();
    startCall(customer);
  }
}

void CounterExchange::startCall(CustomerState& customer) {
  const CounterKey key{CounterKey::Kind::quotaUsage, customer.id, slotAt(context_.now)};
  if (callsInFlight_.contains(key)) {
    customer.round.state = CounterRound::State::idle;
    return;
  }
  customer.round.state = CounterRound::State::callInFlight;
  customer.round.startedAt = context_.now;
  customer.round.requestedSinceCall = false;
  if (customer.bucket.isDivided()) refill(customer);
  const double units = customer.bucket.takeUnpublished();
  pacer_.start();
  callsInFlight_.emplace(key, CallInFlight{&customer, units});
  context_.sink.addToCounter(key, units, countRetention());
}

void CounterExchange::callEnded(const CounterKey& key, CounterCallOutcome outcome, double total,
                                Duration duration) {
  health_.recordCall(outcome);
  adjustCallRate(outcome, duration);
  const auto found = callsInFlight_.find(key);
  if (found == callsInFlight_.end()) return;
  const CallInFlight call = found->second;
  callsInFlight_.erase(found);
  finishCall(call, key.slot, outcome, total);
}

void CounterExchange::finishCall(const CallInFlight& call, SlotId slot, CounterCallOutcome outcome,
                                 double total) {
  CustomerState& customer = *call.customer;
  customer.round.state = CounterRound::State::idle;
  if (outcome != CounterCallOutcome::ok) {
    customer.bucket.returnUnpublished(call.units);
    ++customer.round.consecutiveFailures;
    if (CounterHealth::unreachableAfter(customer.round.consecutiveFailures)) customer.bucket.divide();
    return scheduleCall(customer);
  }
  refill(customer);
  customer.bucket.applyTotal(context_.now, slot, call.units, total);
  customer.round.consecutiveFailures = 0;
  if (customer.round.requestedSinceCall) scheduleCall(customer);
}

void CounterExchange::adjustCallRate(CounterCallOutcome outcome, Duration duration) {
  const double gateways = context_.settings.gateways;
  const double callRate = pacer_.callsPerPeriod();
  const bool answered = outcome == CounterCallOutcome::ok;
  const double timeoutFraction = answered ? seconds(duration) / callRatePeriodSeconds() : 1;
  const bool isLate = timeoutFraction >= kLateResponseFraction;
  const bool isQuick = timeoutFraction < kQuickResponseFraction;
  // While all gateways together make less than one call per timeout, any response that is not late raises the
  // rate.
  const bool callRateIsLow = callRate < 1.0 / gateways;
  if (isQuick || (!isLate && callRateIsLow))
    pacer_.raise(kCallRateIncrease * std::min(1.0, callRate), kMaxCallsPerTimeout / gateways);
  else if (isLate)
    pacer_.cut(kCallRateCutFactor, kMinCallsPerTimeout / gateways, context_.now,
               context_.settings.counterTimeout);
}

}  // namespace merlinbridge::policy
