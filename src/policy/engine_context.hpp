#pragma once

#include "policy_api/decision_engine.hpp"
#include "util/random_source.hpp"
#include "util/timer_table.hpp"

namespace merlinbridge::policy {

/// What all parts of one engine share: settings, time, random draws, timers and the sink. The engine sets the
/// time of an input before it hands the input on; the parts only read the time.
struct EngineContext {
  /// `seed` determines all random draws. `startTime`: start of this gateway process. The sink must outlive
  /// the context.
  EngineContext(PolicySettings policySettings, std::uint64_t seed, TimePoint startTime,
                DecisionSink& decisionSink);

  /// Runs the callback at that time, or as soon as possible where it has passed. The callback runs once,
  /// while the engine handles the timer's input; what it captures must live until then.
  void runAt(TimePoint at, util::TimerTable::Callback callback);

  const PolicySettings settings;
  const TimePoint startedAt;  ///< Of this gateway process.
  TimePoint now;              ///< Of the input that is handled.
  util::RandomSource random;
  util::TimerTable timers;
  DecisionSink& sink;
};

}  // namespace merlinbridge::policy
