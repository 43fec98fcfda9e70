#pragma once

#include "policy_api/decision_engine.hpp"

namespace merlinbridge::policy {

/// Reports the start and end of a condition, at most once per interval, so that a condition that changes
/// often does not fill the log. Notified of the condition each time it is evaluated.
class StateNotice {
 public:
  /// `began`, `ended`: the events that are reported at a change. The condition is initially not active.
  StateNotice(EngineEvent began, EngineEvent ended, Duration minInterval);

  /// Whether the last reported event was the start of the condition.
  bool active() const { return active_; }

  /// Reports a change to the sink. A change within the interval after the last report is not reported; a
  /// later call reports it if it persists.
  void set(bool active, TimePoint now, DecisionSink& sink);

 private:
  const EngineEvent began_;
  const EngineEvent ended_;
  const Duration minInterval_;
  bool active_ = false;
  TimePoint lastReportAt_{};  ///< Time of the last report; the clock's origin: none yet.
};

}  // namespace merlinbridge::policy
