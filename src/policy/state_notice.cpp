#include "policy/state_notice.hpp"

namespace merlinbridge::policy {

StateNotice::StateNotice(EngineEvent began, EngineEvent ended, Duration minInterval)
    : began_(began), ended_(ended), minInterval_(minInterval) {}

void StateNotice::set(bool active, TimePoint now, DecisionSink& sink) {
  if (active_ == active) return;
  const bool changedBefore = changedAt_ != TimePoint{};
  if (changedBefore && now - changedAt_ < minInterval_) return;
  active_ = active;
  changedAt_ = now;
  sink.report(active ? began_ : ended_);
}

}  // namespace merlinbridge::policy
