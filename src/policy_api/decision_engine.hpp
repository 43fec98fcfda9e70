#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "policy_api/policy_settings.hpp"

/// The public interface of the decision engine: its inputs (DecisionEngine) and its outputs (DecisionSink).
/// Called by the gateway process (gateway_core), the emulator and the simulator adapter.
namespace merlinbridge {

/// The deadlines of an attempt.
struct AttemptDeadline {
  /// At this time the caller abandons the attempt and reports it as Outcome::noResponse, or as
  /// Outcome::notSent if nothing was written.
  TimePoint abandonAt;

  /// The last byte of the attempt must be handed to the socket by this time; otherwise the attempt must not
  /// be sent, because the host would no longer recognize it as a repeat of an earlier attempt.
  /// TimePoint::max(): no limit.
  TimePoint writeBy;
};

/// A change of the engine's state that operators need to see in the log.
enum class EngineEvent {
  counterUnreachable,   ///< All calls to the counter service fail: quotas are divided among the gateways.
  counterRestored,      ///< The counter service responds again: quotas are shared again.
  loadSheddingStarted,  ///< The hosts have no free capacity: requests are rejected, lowest priority first.
  loadSheddingStopped   ///< For the length of a time slot, no request was rejected for lack of capacity.
};

/// The outputs of the engine, implemented by its caller. The engine calls these functions on the caller's
/// thread while it handles an input. An implementation must not call the engine from within them; it reports
/// the result of each action later, as a separate input.
class DecisionSink {
 public:
  virtual ~DecisionSink() = default;

  /// Sends the request to that host. The attempts of a request are numbered from 0 in the order of these
  /// calls. The end of each attempt is reported exactly once, with DecisionEngine::attemptEnded.
  virtual void startAttempt(RequestId, HostId, AttemptDeadline) = 0;

  /// Cancels an attempt in flight. Its end is reported like that of any attempt, with Outcome::cancelled.
  virtual void cancel(RequestId, AttemptNumber) = 0;

  /// Sends the final response of a request: rejected; the client may retry after `retryAfter`. 0: the
  /// response has no Retry-After.
  virtual void reject(RequestId, Duration retryAfter) = 0;

  /// Sends the final response of a request: failed; the request may have taken effect.
  virtual void fail(RequestId) = 0;

  /// Adds units to a count that the counter service keeps for `keepFor` from now. Units are negative after a
  /// correction that lowers the cost of a request. The end of the call is reported once, with
  /// DecisionEngine::counterCallEnded. There is at most one call in flight for each key.
  virtual void addToCounter(const CounterKey&, double units, Duration keepFor) = 0;

  /// Sets a timer: DecisionEngine::timerFired is to be called at that time, which is not in the past, or as
  /// soon after it as possible.
  virtual void setTimer(TimePoint, TimerId) = 0;

  /// Reports a change of the engine's state.
  virtual void report(EngineEvent) = 0;
};

/// A client's request as the engine sees it.
struct Request {
  RequestId requestId;
  CustomerId customer;
  PlanId plan;
  MethodId method;

  /// The client stops waiting for the response at this time.
  TimePoint deadline;

  /// Cost in quota units, 0 or more. An estimate if the host's response states the true cost.
  double units = 0;

  /// Number of gateways that receive this customer's requests. Clamped to 1 .. PolicySettings::gateways.
  std::uint32_t gateways = 1;

  /// Whether the request has the idempotency key by which hosts recognize a repeat of a deduplicated method.
  bool hasIdempotencyKey = true;
};

/// How an attempt ended. "Executed" means that the host carried out the request.
enum class Outcome {
  ok,            ///< The host responded with success; executed.
  error,         ///< The host responded with an error; possibly executed.
  rejected,      ///< The host declined the request; not executed.
  noResponse,    ///< Abandoned at AttemptDeadline::abandonAt; possibly executed.
  noConnection,  ///< The request could not be written in full; not executed.
  lost,          ///< The connection ended after the request was written; possibly executed.
  cancelled,     ///< Cancelled by DecisionSink::cancel; possibly executed.
  notSent        ///< Abandoned before the request was written; not executed.
};

/// The load that a host reports with a response. A field that the host did not report is empty.
struct LoadReport {
  /// Requests in flight at the host, including queued ones.
  std::optional<double> inFlight;

  /// The number of requests in flight that wait in the host's queue.
  std::optional<double> queued;

  /// Recent processing time of a request, in seconds.
  std::optional<double> serviceSeconds;

  /// Rate at which the host sends responses.
  std::optional<double> responsesPerSecond;

  /// Utilization of the host, 0 to 1.
  std::optional<double> utilization;
};

/// The result of an attempt.
struct AttemptResult {
  RequestId requestId;
  AttemptNumber attemptNumber;

  /// The host to which the attempt was sent.
  HostId host;

  Outcome outcome = Outcome::notSent;

  /// Whether the client now has its final response. The engine then starts no further attempt.
  bool requestAnswered = false;

  /// Time from the start of the attempt to its end.
  Duration duration{};

  /// True cost of the request in units; 0: the host did not state it. Read only if `outcome` is ok.
  double trueUnits = 0;

  /// Read only if `outcome` is ok.
  LoadReport load;
};

/// What discovery announces about one host.
struct HostUpdate {
  HostId host;
  ZoneId zone;
  CellId cell;
  MachineId machine;

  /// Whether the host accepts requests. False: it is draining or gone.
  bool serving = false;

  /// Relative weight that the operator assigned to the host. The engine does not use it.
  double weight = 1;

  /// When the host's process started. Empty: long ago, so the host needs no slow start. A changed value means
  /// that the host has restarted.
  std::optional<TimePoint> startedAt;
};

/// How a call to the counter service ended.
enum class CounterCallOutcome {
  ok,        ///< The units were added, and the total of the count is known.
  notAdded,  ///< The units were definitely not added.
  unknown    ///< No response came; the units may have been added.
};

/// Makes the decisions of one gateway: which requests are admitted, to which host each attempt goes, and
/// which requests are retried, hedged, rejected or failed.
///
/// Each call is one input with its time; times never decrease. All resulting actions go to the sink before
/// the call returns. The engine does no I/O, reads no clock, and shares no state with other gateways: the
/// same seed and inputs produce the same decisions. Not thread-safe, and must not be called from within a
/// DecisionSink function.
class DecisionEngine {
 public:
  /// `seed` determines all random choices. `now` is the start of this gateway process. The sink must outlive
  /// the engine; the constructor does not call it.
  DecisionEngine(PolicySettings, std::uint64_t seed, TimePoint now, DecisionSink&);
  ~DecisionEngine();
  DecisionEngine(const DecisionEngine&) = delete;
  DecisionEngine& operator=(const DecisionEngine&) = delete;

  /// Discovery announced changes to some hosts; the other hosts are unchanged.
  void hostsUpdated(TimePoint now, const std::vector<HostUpdate>&);

  /// Discovery announced the complete list of hosts: hosts that are missing from it no longer serve.
  void allHostsUpdated(TimePoint now, const std::vector<HostUpdate>&);

  /// A request has arrived. Before it returns, the engine calls either startAttempt or `reject` once.
  void requestArrived(TimePoint now, const Request&);

  /// The head of a request has arrived, and its client waits to be asked for the body. Returns the time after
  /// which the client may retry if the customer's limits reject the request in any case: the caller then
  /// rejects it and does not report its arrival. Otherwise returns nothing and decides nothing.
  std::optional<Duration> rejectionInAdvance(TimePoint now, const Request&);

  /// An attempt has ended. Must be reported exactly once for each attempt started, even if its request is
  /// already finished. The result of an attempt that is unknown or already ended is ignored.
  void attemptEnded(TimePoint now, const AttemptResult&);

  /// The client has disconnected, or was answered without the engine: the engine starts no further attempt
  /// and sends no final response. Attempts in flight must still be reported with attemptEnded. An unknown
  /// request is ignored.
  void clientDisconnected(TimePoint now, RequestId);

  /// A connection to the host that carried no attempt has broken or was closed by the host: another process
  /// may answer at its address before discovery announces it.
  void hostConnectionBroke(TimePoint now, HostId);

  /// A call started with addToCounter has ended. `total`: the units in the count after the call, read only if
  /// `outcome` is ok. `duration`: from the start of the call to its end.
  void counterCallEnded(TimePoint now, const CounterKey&, CounterCallOutcome outcome, double total,
                        Duration duration);

  /// A timer set with setTimer is due. A timer that has already fired is ignored.
  void timerFired(TimePoint now, TimerId);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace merlinbridge
