#pragma once

#include "policy_api/decision_engine.hpp"

namespace merlinbridge::policy {

/// Decides when a condition is reported as begun or ended: at each change, but not more often than once in an
/// interval, so that a condition that comes and goes does not fill the log. Notified whenever the condition
/// is known.
class StateNotice {
 public:
  /// `began`, `ended`: what is reported at a change. The condition starts as not active.
  StateNotice(EngineEvent began, EngineEvent ended, Duration minInterval);

  /// Whether the last report was that the condition began.
  bool active() const { return active_; }

  /// Reports a change to the sink. A change within the interval is dropped; the next call reports it if it
  /// lasts.
  void set(bool active, TimePoint now, DecisionSink& sink);

 private:
  const EngineEvent began_;
  const EngineEvent ended_;
  const Duration minInterval_;
  bool active_ = false;
  TimePoint changedAt_{};  ///< The clock's origin: never.
};

}  // namespace merlinbridge::policy
