#pragma once

#include <algorithm>
#include <cstdint>

#include "emulator/event_queue.hpp"
#include "emulator/invariant_checker.hpp"
#include "emulator/metrics.hpp"

namespace merlinbridge::emulator {

/// Virtual time at which every run begins. Far from zero, so that a host may have started long before it.
inline constexpr TimePoint kRunStart{std::chrono::seconds(1'700'000'000)};

/// Kinds of events in the fingerprint of a run. The number of the gateway, host, fault, answer or outcome
/// concerned is added to the value.
enum class TraceEvent : std::uint64_t {
  requestReceived = 0,     ///< Plus the id of the client attempt.
  requestFailed = 3,       ///< A client has given up on its request.
  answerReceived = 10,     ///< Plus the Answer.
  attemptEnded = 100,      ///< Plus the Outcome.
  gatewayDied = 1000,      ///< Plus the gateway's number.
  hostOverloaded = 5000,   ///< Plus the host's number.
  faultBegan = 7000,       ///< Plus the fault's number in the scenario.
  faultEnded = 8000,       ///< The same.
  attemptStarted = 20'000  ///< Plus the host's number.
};

/// What all parts of one run share: the scenario, the event queue with its clock, the invariant checker and
/// the metrics. The scenario must outlive it, and it outlives every part of the run.
class RunContext {
 public:
  explicit RunContext(const Scenario& scenario)
      : scenario_(scenario), events_(kRunStart), checker_(scenario) {}
  ~RunContext() = default;
  RunContext(const RunContext&) = delete;
  RunContext& operator=(const RunContext&) = delete;

  const Scenario& scenario() const { return scenario_; }
  EventQueue& events() { return events_; }
  TimePoint now() const { return events_.now(); }
  InvariantChecker& checker() { return checker_; }
  Metrics& metrics() { return metrics_; }
  /// The metrics of the second of the run that virtual time is in.
  Metrics::Second& currentSecond() {
    const auto since = std::chrono::duration_cast<std::chrono::seconds>(now() - kRunStart).count();
    const auto second = static_cast<std::size_t>(std::max<std::int64_t>(0, since));
    if (metrics_.seconds.size() <= second) metrics_.seconds.resize(second + 1);
    return metrics_.seconds[second];
  }
  /// Adds an event and its time to the fingerprint of the run.
  void trace(TraceEvent event, std::uint64_t number = 0) {
    constexpr std::uint64_t kFnvPrime = 1099511628211u;
    const auto time = static_cast<std::uint64_t>(now().time_since_epoch().count());
    metrics_.fingerprint =
        (metrics_.fingerprint ^ (static_cast<std::uint64_t>(event) + number) ^ time) * kFnvPrime;
  }

 private:
  const Scenario& scenario_;
  EventQueue events_;
  InvariantChecker checker_;
  Metrics metrics_;
};

}  // namespace merlinbridge::emulator
