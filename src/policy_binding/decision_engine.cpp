#include "policy_api/decision_engine.hpp"

#include <utility>

#include "policy/engine_impl.hpp"

/// Forwards the functions of DecisionEngine to its implementation: each input sets the time, then calls the
/// function of DecisionEngine::Impl that handles it. Not in src/policy, which contains only decision logic.
namespace merlinbridge {

DecisionEngine::DecisionEngine(PolicySettings settings, std::uint64_t seed, TimePoint now, DecisionSink& sink)
    : impl_(std::make_unique<Impl>(std::move(settings), seed, now, sink)) {}

DecisionEngine::~DecisionEngine() = default;

void DecisionEngine::hostsUpdated(TimePoint now, const std::vector<HostUpdate>& updates) {
  impl_->advanceTo(now);
  impl_->updateHosts(updates);
}

void DecisionEngine::allHostsUpdated(TimePoint now, const std::vector<HostUpdate>& updates) {
  impl_->advanceTo(now);
  impl_->updateAllHosts(updates);
}

void DecisionEngine::requestArrived(TimePoint now, const Request& request) {
  impl_->advanceTo(now);
  impl_->admit(request);
}

std::optional<Duration> DecisionEngine::rejectionInAdvance(TimePoint now, const Request& request) {
  impl_->advanceTo(now);
  return impl_->rejectionInAdvance(request);
}

void DecisionEngine::attemptEnded(TimePoint now, const AttemptResult& result) {
  impl_->advanceTo(now);
  impl_->endAttempt(result);
}

void DecisionEngine::clientDisconnected(TimePoint now, RequestId request) {
  impl_->advanceTo(now);
  impl_->markAnswered(request);
}

void DecisionEngine::hostConnectionBroke(TimePoint now, HostId host) {
  impl_->advanceTo(now);
  impl_->hostConnectionBroke(host);
}

void DecisionEngine::counterCallEnded(TimePoint now, const CounterKey& key, CounterCallOutcome outcome,
                                      double total, Duration duration) {
  impl_->advanceTo(now);
  impl_->endCounterCall(key, outcome, total, duration);
}

void DecisionEngine::timerFired(TimePoint now, TimerId timer) {
  impl_->advanceTo(now);
  impl_->fireTimer(timer);
}

}  // namespace merlinbridge
