#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy_api/policy_settings.hpp"

/// The public interface of the decision engine: its inputs, and what it requests in turn. The gateway
/// process (gateway_core), the emulator and the simulator adapter are its callers.
namespace merlinbridge {

/// The times that bound an attempt.
struct AttemptDeadline {
  /// The caller gives the attempt up at this time and reports it as Outcome::noResponse, or as
  /// Outcome::notSent where nothing was written.
  TimePoint abandonAt;

  /// The attempt's last byte must be handed to the socket by then, or the attempt is never sent: the host
  /// would no longer recognize it as a repeat of an earlier attempt. TimePoint::max(): no limit.
  TimePoint writeBy;
};

/// A change of the engine's state that on-call engineers need to see in the log.
enum class EngineEvent {
  counterUnreachable,   ///< The counter service fails every call: quotas are divided among the gateways.
  counterRestored,      ///< The counter service answers again: quotas are shared again.
  loadSheddingStarted,  ///< The hosts' capacity is used up: requests are rejected, lowest priority first.
  loadSheddingStopped   ///< No request was rejected for lack of capacity for one slot of time.
};

/// What the engine requests of its caller. Implemented outside the engine; every function is called on the
/// caller's thread while the engine handles an input, and must not call the engine in turn: what follows from
/// the request is reported as an input of its own, later.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;

  /// Sends the request to that host. Attempts of one request are numbered from 0 in the order of these calls;
  /// the end of each is reported once with DecisionEngine::attemptEnded.
  virtual void startAttempt(RequestId, HostId, AttemptDeadline) = 0;

  /// Cancels an attempt in flight. Its end is reported like any other, as Outcome::cancelled.
  virtual void cancel(RequestId, AttemptNumber) = 0;

  /// The final answer of a request: rejected, the client may repeat it after `retryAfter`. 0: no Retry-After.
  virtual void reject(RequestId, Duration retryAfter) = 0;

  /// The final answer of a request: failed, it may have had its effect.
  virtual void fail(RequestId) = 0;

  /// Adds units to a count that the counter service keeps for `keepFor` from now. Units may be below 0 after
  /// a correction. The end is reported once with DecisionEngine::counterCallEnded. A key has one call in
  /// flight at most.
  virtual void addToCounter(const CounterKey&, double units, Duration keepFor) = 0;

  /// Calls DecisionEngine::timerFired at that time, which is not in the past, or as soon after as possible.
  virtual void setTimer(TimePoint, TimerId) = 0;

  /// Reports that the engine has entered or left a state.
  virtual void report(EngineEvent) = 0;
};

/// A request of a client, as the engine sees it.
struct Request {
  RequestId requestId;
  CustomerId customer;
  PlanId plan;
  MethodId method;

  /// The client gives up at this time.
  TimePoint deadline;

  /// Cost in units of the quota, 0 or more. An estimate where the answer states the true cost.
  double units = 0;

  /// Gateways through which this customer's requests come. Clamped to 1 .. PolicySettings::gateways.
  std::uint32_t gateways = 1;

  /// Whether the request has the key by which hosts recognize a repeat of a deduplicated method.
  bool hasIdempotencyKey = true;
};

/// How an attempt ended, by the protocol's table. "It" is the attempt's execution at the host.
enum class Outcome {
  ok,            ///< The host answered.
  error,         ///< The host answered with an error; it may have run.
  rejected,      ///< The host declined the request; it has not run.
  noAnswer,      ///< Given up at AttemptDeadline::abandonAt; it may have run.
  noConnection,  ///< Not all of the request could be written; it has not run.
  lost,          ///< The connection ended after the request was written; it may have run.
  cancelled,     ///< Cancelled by DecisionSink::cancel; it may have run.
  notSent        ///< Given up before the request was written; it has not run.
};

/// What a host's answer states of the host's load. Empty fields were not stated.
struct LoadReport {
  /// Requests in flight at the host, the queued ones included.
  std::optional<double> inFlight;

  /// Requests of these that wait in the host's queue.
  std::optional<double> queued;

  /// Recent time of one request, in seconds.
  std::optional<double> serviceSeconds;

  /// Requests that the host answers in a second.
  std::optional<double> responsesPerSecond;

  /// Utilization of the host, 0 to 1.
  std::optional<double> utilization;
};

/// The end of an attempt.
struct AttemptResult {
  RequestId requestId;
  AttemptNumber attemptNumber;

  /// The host that the attempt was started at.
  HostId host;

  Outcome outcome = Outcome::notSent;

  /// Whether the client has its final answer with this result: the engine then starts nothing further.
  bool requestAnswered = false;

  /// Time from the attempt's start to its end.
  Duration duration{};

  /// True cost of the request in units; 0: the host did not state one. Read where `outcome` is ok.
  double trueUnits = 0;

  /// Read where `outcome` is ok.
  LoadReport load;
};

/// What discovery announces of one host.
struct HostUpdate {
  HostId host;
  ZoneId zone;
  CellId cell;
  MachineId machine;

  /// Whether the host takes requests. False: it is draining or gone.
  bool serving = false;

  /// Relative weight that the operator gave the host. The engine does not read it.
  double weight = 1;

  /// When the host's process started. Empty: long ago, the host does not warm up. A change means that the
  /// host has restarted.
  std::optional<TimePoint> startedAt;
};

/// How a call to the counter service ended.
enum class CounterCallOutcome {
  ok,        ///< The units were added, and the count's total is known.
  notAdded,  ///< The units were certainly not added.
  unknown    ///< The units may have been added; no answer came.
};

/// One gateway's decisions: which requests are admitted, which host each attempt goes to, and what is
/// retried, hedged, rejected or failed.
///
/// Each call is one input with its time; times never go back. What the engine decides leaves through the sink
/// before the call returns. The engine does no I/O, reads no clock, keeps no state outside itself and shares
/// none with other gateways: the same seed and inputs give the same decisions. Not thread-safe, and not to be
/// called from within a DecisionSink function.
class DecisionEngine {
 public:
  /// `seed` determines all random draws. `now` is the start of this gateway process. The sink must outlive
  /// the engine; the constructor does not call it.
  DecisionEngine(PolicySettings, std::uint64_t seed, TimePoint now, DecisionSink&);
  ~DecisionEngine();
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;

  /// Discovery announced changes of some hosts; the others stay as they are.
  void hostsUpdated(TimePoint now, const std::vector<HostUpdate>&);

  /// Discovery announced the complete list: hosts that are missing no longer serve.
  void allHostsUpdated(TimePoint now, const std::vector<HostUpdate>&);

  /// A request has arrived. Leads to one startAttempt, or to the final answer `reject`, before the call
  /// returns.
  void requestArrived(TimePoint now, const Request&);

  /// An attempt has ended. Reported once for every attempt that was started, whatever became of its request;
  /// a result of an attempt that is unknown or has ended already is ignored.
  void attemptEnded(TimePoint now, const AttemptResult&);

  /// The client has left, or was answered without the engine: nothing further is started for the request, and
  /// no final answer follows. Attempts in flight still end with attemptEnded. An unknown request is ignored.
  void clientDisconnected(TimePoint now, RequestId);

  /// A call that addToCounter asked for has ended. `total`: of the count after the call, in units, read where
  /// `outcome` is ok. `duration`: the call's duration.
  void counterCallEnded(TimePoint now, const CounterKey&, CounterCallOutcome outcome, double total,
                        Duration duration);

  /// A timer that setTimer asked for is due. A timer that has fired already is ignored.
  void timerFired(TimePoint now, TimerId);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace merlinbridge
