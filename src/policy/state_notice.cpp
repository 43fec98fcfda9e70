#include "policy/state_notice.hpp"

namespace merlinbridge::policy {

StateNotice::StateNotice(EngineEvent began, EngineEvent ended, Duration minInterval)
    : began_(began), ended_(ended), minInterval_(minInterval) {}

void StateNotice::set(bool active, TimePoint now, DecisionSink& sink) {
  if (active_ == active) return;
  const bool reportedBefore = lastReportAt_ != TimePoint{};
  if (reportedBefore && now - lastReportAt_ < minInterval_) return;
  active_ = active;
  lastReportAt_ = now;
  sink.report(active ? began_ : ended_);
}

}  // namespace merlinbridge::policy
