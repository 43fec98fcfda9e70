#pragma once

#include <optional>
#include <utility>
#include <vector>

#include "policy/engine_context.hpp"
#include "util/host_table.hpp"

/// Shared by the tests of single policy classes: a clock that the test advances, a seeded random source, a
/// sink that records its calls, and functions that create settings, requests and results.
namespace merlinbridge::policy::testing {

using namespace std::chrono_literals;

/// Records the calls of the engine or one of its components; does not respond to them.
struct RecordingSink final : DecisionSink {
  struct CounterCall {
    CounterKey key;
    double units = 0;
  };
  struct Timer {
    TimePoint at;
    TimerId id;
  };

  void startAttempt(RequestId, HostId host, AttemptDeadline) override { attempts.push_back(host); }
  void cancel(RequestId, AttemptNumber) override { ++cancelled; }
  void reject(RequestId, Duration) override { ++rejected; }
  void fail(RequestId) override { ++failed; }
  void addToCounter(const CounterKey& key, double units, Duration) override { calls.push_back({key, units}); }
  void setTimer(TimePoint at, TimerId id) override { timers.push_back({at, id}); }
  void report(EngineEvent event) override { events.push_back(event); }

  std::vector<HostId> attempts;
  std::vector<CounterCall> calls;
  std::vector<Timer> timers;
  std::vector<EngineEvent> events;
  int cancelled = 0;
  int rejected = 0;
  int failed = 0;
};

/// Methods: idempotent, deduplicated by all hosts, deduplicated within a zone, non-idempotent. Plans: with a
/// quota, with a concurrency limit, with a quota and a hard ceiling.
inline PolicySettings makeSettings(std::uint32_t gateways = 1) {
  PolicySettings settings;
  settings.methods = {{Idempotency::idempotent, DeduplicationScope::all, 0ns, 500ms, 1},
                      {Idempotency::deduplicated, DeduplicationScope::all, 2s, 500ms, 4},
                      {Idempotency::deduplicated, DeduplicationScope::zone, 100ms, 500ms, 2},
                      {Idempotency::nonIdempotent, DeduplicationScope::all, 2s, 500ms, 3}};
  settings.plans = {{4, 12, 0, 0, 0, 0, 1}, {0, 0, 2, 0, 0, 0, 1}, {20, 30, 0, 40, 60, 8, 1.5}};
  settings.gateways = gateways;
  settings.hasCounter = true;
  settings.counterTimeout = 50ms;
  settings.maxUnits = 4;
  settings.allowRetryAfter = true;
  settings.maxAttempts = 3;
  settings.maxRetryAfter = 1s;
  settings.connectTimeout = 250ms;
  settings.startCapacity = 0.2;
  settings.overloadMultiple = 3;
  settings.slowStartTime = 10s;
  settings.overloadWindow = 2s;
  return settings;
}

/// Start of the gateway process.
inline constexpr TimePoint kStart{1000s};

/// The context of the tested component. The test advances its time.
struct Fixture {
  explicit Fixture(const PolicySettings& settings = makeSettings()) : context(settings, 7, kStart, sink) {}

  void advanceTime(Duration duration) { context.now += duration; }
  /// Fires the due timers, in the order in which they were set.
  void fireTimers() {
    const auto due = std::exchange(sink.timers, {});
    for (const auto& timer : due) {
      if (timer.at <= context.now)
        context.timers.fire(timer.id);
      else
        sink.timers.push_back(timer);
    }
  }

  RecordingSink sink;
  EngineContext context;
};

inline HostUpdate servingHost(std::uint32_t host, std::optional<TimePoint> startedAt = {},
                              std::uint32_t zone = 0) {
  HostUpdate update;
  update.host = {host};
  update.zone = {zone};
  update.serving = true;
  update.startedAt = startedAt;
  return update;
}

inline Request makeRequest(std::uint32_t method = 0, std::uint32_t plan = 0, double units = 1) {
  Request request;
  request.requestId = {1};
  request.customer = {5};
  request.method = {method};
  request.plan = {plan};
  request.deadline = kStart + 2s;
  request.units = units;
  return request;
}

inline AttemptResult makeResult(std::uint32_t host, Outcome outcome, Duration duration = 20ms) {
  AttemptResult result;
  result.requestId = {1};
  result.host = {host};
  result.outcome = outcome;
  result.duration = duration;
  return result;
}

}  // namespace merlinbridge::policy::testing
