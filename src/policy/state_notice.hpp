#pragma once

#include "policy_api/decision_engine.hpp"

namespace merlinbridge::policy {

/// Reports when a condition begins and when it ends, at most one change in an interval.
class StateNotice {
 public:
  StateNotice(EngineEvent began, EngineEvent ended, Duration minInterval)
      : began_(began), ended_(ended), minInterval_(minInterval) {}

  bool active() const { return active_; }
  void set(bool active, TimePoint now, DecisionSink& sink) {
    if (active_ == active || (changedAt_ != TimePoint{} && now - changedAt_ < minInterval_)) return;
    active_ = active;
    changedAt_ = now;
    sink.report(active ? began_ : ended_);
  }

 private:
  EngineEvent began_;
  EngineEvent ended_;
  Duration minInterval_;
  bool active_ = false;
  TimePoint changedAt_{};
};

}  // namespace merlinbridge::policy
