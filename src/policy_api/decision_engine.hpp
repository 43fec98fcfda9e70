#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy_api/policy_settings.hpp"

namespace merlinbridge {

/// How long an attempt may take.
struct AttemptDeadline {
  TimePoint abandonAt;  ///< It is given up then.
  /// Its last byte must be on its way by then, or it is never sent: a repeat whose host would no longer know
  /// the first attempt. TimePoint::max(): no limit.
  TimePoint writeBy;
};

/// A change of the engine's state that is worth a log line.
enum class EngineEvent {
  counterUnreachable,   ///< The counter service fails every call: quotas are divided among the gateways.
  counterRestored,      ///< It answers again: quotas are shared again.
  loadSheddingStarted,  ///< The hosts' capacity is used up: requests are rejected, lowest priority first.
  loadSheddingStopped   ///< No request was rejected for that reason for a while.
};

/// What the engine asks of whoever hosts it. The calls come while the engine handles an input; they must not
/// call the engine in turn.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;
  /// Attempts of one request are numbered from 0 in the order of these calls.
  virtual void startAttempt(RequestId, HostId, AttemptDeadline) = 0;
  /// The attempt's end is reported as any other, as Outcome::cancelled.
  virtual void cancel(RequestId, AttemptNumber) = 0;
  /// Final answer: the client may repeat the request, after that time. 0: no Retry-After.
  virtual void reject(RequestId, Duration retryAfter) = 0;
  /// Final answer: the request may have had its effect.
  virtual void fail(RequestId) = 0;
  /// Adds units to a count that the counter service keeps for that long; the end comes as `counted`.
  virtual void addToCounter(const CounterKey&, double units, Duration keepFor) = 0;
  /// Calls `woken` at that time or as soon after as possible.
  virtual void wakeAt(TimePoint, TimerId) = 0;
  /// The engine has entered or left a state that on-call engineers need to see in the log.
  virtual void report(EngineEvent) = 0;
};

/// A request that a client waits for.
struct Request {
  RequestId requestId;
  CustomerId customer;
  PlanId plan;
  MethodId method;
  TimePoint deadline;             ///< The client waits until then.
  double units = 0;               ///< Cost; an estimate where the answer tells the true cost.
  std::uint32_t gateways = 1;     ///< Through which the customer's requests come.
  bool hasIdempotencyKey = true;  ///< By which a host recognizes a repeat of a deduplicated method.
};

/// How an attempt ended, by the protocol's table.
enum class Outcome {
  ok,
  error,         ///< The host answered with an error; it may have run.
  rejected,      ///< The host declined it; it has not run.
  noAnswer,      ///< Given up at its time; it may have run.
  noConnection,  ///< Not all of it was written; it has not run.
  lost,          ///< The connection ended under it; it may have run.
  cancelled,     ///< By DecisionSink::cancel; it may have run.
  notSent        ///< Given up before it was written; it has not run.
};

/// What a host's answer tells of its load; each figure may be missing.
struct LoadReport {
  std::optional<double> inFlight;          ///< Requests in flight at the host.
  std::optional<double> queued;            ///< Of them, those that wait.
  std::optional<double> serviceSeconds;    ///< Recent time of one request.
  std::optional<double> answersPerSecond;  ///< Answers per second.
  std::optional<double> utilization;       ///< Utilization, 0 to 1.
};

struct AttemptResult {
  RequestId requestId;
  AttemptNumber attemptNumber;
  HostId host;
  Outcome outcome = Outcome::notSent;
  bool requestAnswered = false;  ///< The request has had its final answer.
  Duration took{};
  double trueUnits = 0;  ///< Cost of the request; 0: not told.
  LoadReport load;
};

/// What discovery says of one host.
struct HostUpdate {
  HostId host;
  ZoneId zone;
  CellId cell;
  MachineId machine;
  bool serving = false;  ///< False: draining or gone.
  double weight = 1;
  std::optional<TimePoint> started;  ///< Empty: long ago.
};

/// How a call to the counter service ended.
enum class CounterCallOutcome {
  ok,
  notAdded,  ///< The units were certainly not added.
  unknown    ///< They may have been added.
};

/// One gateway's decisions. Each call is one input; what is decided leaves through the sink before the call
/// returns. Times never go back. Nothing is shared with other gateways. Not thread-safe.
class DecisionEngine {
 public:
  /// `seed` determines all random draws. The sink must outlive the engine.
  DecisionEngine(PolicySettings, std::uint64_t seed, TimePoint now, DecisionSink&);
  ~DecisionEngine();
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;

  /// The hosts that changed.
  void hostsUpdated(TimePoint now, const std::vector<HostUpdate>&);
  /// All hosts: those that are missing are gone.
  void allHostsUpdated(TimePoint now, const std::vector<HostUpdate>&);
  /// Leads to an attempt, or to the final answer at once.
  void requestArrived(TimePoint now, const Request&);
  /// Every attempt ends once; a result of an unknown attempt is ignored.
  void attemptEnded(TimePoint now, const AttemptResult&);
  /// The client has gone, or has had an answer without the engine's doing.
  void clientLeft(TimePoint now, RequestId);
  /// `total`: of the count after the call, where `end` is ok. `took`: the call's duration.
  void counterCallEnded(TimePoint now, const CounterKey&, CounterCallOutcome end, double total,
                        Duration took);
  void timerFired(TimePoint now, TimerId);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace merlinbridge
