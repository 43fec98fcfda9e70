#include "policy/counter_health.hpp"

#include "policy/count_slot.hpp"

namespace merlinbridge::policy {
namespace {

/// Length of a round, in counter timeouts.
constexpr double kTimeoutsPerRound = 2.0;

/// The service is unreachable after this many consecutive failed calls, if the last success is also more than
/// this many rounds ago. For a single customer: after this many consecutive failed rounds.
constexpr int kUnreachableAfterFailures = 3;

}  // namespace

CounterHealth::CounterHealth(EngineContext& context)
    : context_(context),
      lastSuccessAt_(context.startedAt),
      notice_(EngineEvent::counterUnreachable, EngineEvent::counterRestored, slotLength()) {}

Duration CounterHealth::roundLength(const PolicySettings& settings) {
  return scaled(settings.counterTimeout, kTimeoutsPerRound);
}

bool CounterHealth::unreachableAfter(int failedRounds) {
  return failedRounds >= kUnreachableAfterFailures;
}

void CounterHealth::recordCall(CounterCallOutcome outcome) {
  if (outcome == CounterCallOutcome::ok) {
    consecutiveFailures_ = 0;
    lastSuccessAt_ = context_.now;
  } else {
    ++consecutiveFailures_;
  }
  notice_.set(unreachable(), context_.now, context_.sink);
}

bool CounterHealth::unreachable() const {
  const Duration sinceSuccess = context_.now - lastSuccessAt_;
  return consecutiveFailures_ >= kUnreachableAfterFailures &&
         sinceSuccess > kUnreachableAfterFailures * roundLength(context_.settings);
}

}  // namespace merlinbridge::policy
