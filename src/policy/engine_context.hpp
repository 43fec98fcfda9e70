#pragma once

#include "policy_api/decision_engine.hpp"
#include "util/random_source.hpp"
#include "util/timer_table.hpp"

namespace merlinbridge::policy {

/// State shared by all components of an engine: settings, time, random numbers, timers and the sink. The
/// engine sets the time before it handles an input; the components only read it.
struct EngineContext {
  /// `seed` determines all random choices. `startTime`: start of this gateway process. The sink must outlive
  /// the context.
  EngineContext(PolicySettings policySettings, std::uint64_t seed, TimePoint startTime,
                DecisionSink& decisionSink);

  /// Runs the callback once at time `at`, or as soon as possible if that has passed, while the engine handles
  /// the timer's input. Captured references must stay valid until then.
  void runAt(TimePoint at, util::TimerTable::Callback callback);

  const PolicySettings settings;
  const TimePoint startedAt;  ///< Start of this gateway process.
  TimePoint now;              ///< Time of the current input.
  util::RandomSource random;
  util::TimerTable timers;
  DecisionSink& sink;
};

}  // namespace merlinbridge::policy
