#include "policy/engine_context.hpp"

#include <algorithm>
#include <utility>

namespace merlinbridge::policy {

EngineContext::EngineContext(PolicySettings policySettings, std::uint64_t seed, TimePoint startTime,
                             DecisionSink& decisionSink)
    : settings(std::move(policySettings)),
      startedAt(startTime),
      now(startTime),
      random(seed),
      sink(decisionSink) {}

void EngineContext::runAt(TimePoint at, util::TimerTable::Callback callback) {
  const TimerId timer = timers.add(std::move(callback));
  sink.setTimer(std::max(at, now), timer);
}

}  // namespace merlinbridge::policy
