#include "policy/counter_exchange.hpp"

#include <algorithm>
#include <utility>

#include "policy/count_slot.hpp"

namespace merlinbridge::policy {
namespace {

constexpr double kRoundTimeouts = 2.0;   // length of a round, in counter timeouts
constexpr double kLookBackRounds = 8.0;  // rounds over which use is remembered
constexpr int kSilentAfterFailures = 3;  // failed rounds, as in the source design
constexpr double kMinTimeoutSeconds = 1e-3;
// The pace of all gateways together, in calls in one counter timeout.
constexpr double kInitialCalls = 12.0, kMaxCalls = 120.0, kMinCalls = 0.6;
// An answer that takes this part of the timeout, or no answer, cuts the pace, once in a timeout at most; one
// that takes less than the other part raises it by so much of a call.
constexpr double kLateAnswer = 0.5, kPaceCut = 0.7;
constexpr double kQuickAnswer = 0.25, kPaceGain = 0.1;

}  // namespace

CounterExchange::CounterExchange(EngineContext& context)
    : context_(context),
      pacer_(kInitialCalls / context.settings.gateways, context.startedAt),
      lastSuccessAt_(context.startedAt),
      silenceNotice_(EngineEvent::counterUnreachable, EngineEvent::counterRestored, slotLength()) {}

Duration CounterExchange::roundTime() const {
  return scaled(context_.settings.counterTimeout, kRoundTimeouts);
}

double CounterExchange::lookBack(const PolicySettings& settings) {
  return kLookBackRounds * seconds(scaled(settings.counterTimeout, kRoundTimeouts));
}

bool CounterExchange::silent() const {
  return failuresInRow_ >= kSilentAfterFailures &&
         context_.now - lastSuccessAt_ > kSilentAfterFailures * roundTime();
}

void CounterExchange::refill(CustomerState& customer) const {
  customer.bucket.refill(context_.now);
  if (silent()) customer.bucket.divide();
  customer.ceiling.refill(context_.now);
}

void CounterExchange::schedule(CustomerState& customer) {
  const bool publishes = customer.plan.rate > 0 || ConcurrencyLimit::publishesUsage(customer.plan);
  if (!context_.settings.counter || !publishes) return;
  customer.round.wanted = true;
  if (!idle(customer)) return;
  customer.round.queued = true;
  const TimePoint due = customer.round.startedAt + roundTime();
  if (due <= context_.now) return enqueue(customer);
  context_.runAt(due, [this, &customer] { enqueue(customer); });
}

void CounterExchange::drainQueue() {
  const double timeout = std::max(kMinTimeoutSeconds, seconds(context_.settings.counterTimeout));
  pacer_.refill(context_.now, timeout);
  while (!queue_.empty() && pacer_.mayStart()) {
    CustomerState& customer = *queue_.front();
    queue_.pop_front();
    customer.round.queued = false;
    startCall(customer);
  }
  if (queue_.empty() || drainScheduled_) return;
  drainScheduled_ = true;
  context_.runAt(context_.now + pacer_.untilNext(timeout), [this] {
    drainScheduled_ = false;
    drainQueue();
  });
}

void CounterExchange::startCall(CustomerState& customer) {
  customer.round.startedAt = context_.now;
  customer.round.wanted = false;
  if (customer.bucket.isDivided()) refill(customer);
  const double units = customer.bucket.takeUnpublished();
  const CounterKey name{CounterKey::Kind::quotaUse, customer.id, slotAt(context_.now)};
  customer.round.callInFlight = true;
  pacer_.start();
  callsInFlight_[name].push_back(
      [this, &customer, slot = name.slot, units](CounterCallOutcome end, double total) {
        finishCall(customer, slot, units, end, total);
      });
  context_.sink.addToCounter(name, units, countRetention());
}

void CounterExchange::finishCall(CustomerState& customer, SlotId slot, double units, CounterCallOutcome end,
                                 double total) {
  CounterRound& round = customer.round;
  round.callInFlight = false;
  if (end != CounterCallOutcome::ok) {
    customer.bucket.returnUnpublished(units);
    if (++round.failedInRow >= kSilentAfterFailures) customer.bucket.divide();
    return schedule(customer);
  }
  refill(customer);
  customer.bucket.applyTotal(context_.now, slot, units, total);
  round.failedInRow = 0;
  if (round.wanted) schedule(customer);
}

void CounterExchange::callEnded(const CounterKey& name, CounterCallOutcome end, double total, Duration took) {
  adjustPace(end, took);
  const auto found = callsInFlight_.find(name);
  if (found == callsInFlight_.end()) return;
  const CallEnded ended = std::move(found->second.front());
  found->second.pop_front();
  if (found->second.empty()) callsInFlight_.erase(found);
  ended(end, total);
}

void CounterExchange::adjustPace(CounterCallOutcome end, Duration took) {
  const bool ok = end == CounterCallOutcome::ok;
  failuresInRow_ = ok ? 0 : failuresInRow_ + 1;
  if (ok) lastSuccessAt_ = context_.now;
  silenceNotice_.set(silent(), context_.now, context_.sink);
  const Duration timeout = context_.settings.counterTimeout;
  const double gateways = context_.settings.gateways, pace = pacer_.callsPerPeriod();
  const double waited = ok ? seconds(took) / std::max(kMinTimeoutSeconds, seconds(timeout)) : 1;
  if (waited < kQuickAnswer || (waited < kLateAnswer && pace < 1.0 / gateways))
    pacer_.raise(kPaceGain * std::min(1.0, pace), kMaxCalls / gateways);
  else if (waited >= kLateAnswer)
    pacer_.cut(kPaceCut, kMinCalls / gateways, context_.now, timeout);
}

}  // namespace merlinbridge::policy
