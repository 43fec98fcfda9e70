#pragma once

#include <vector>

#include "policy/engine_context.hpp"
#include "util/decaying_counter.hpp"

namespace merlinbridge::policy {

/// Decides from what this gateway has seen of the hosts (latency, rates, attempts in flight) how many
/// attempts a host may have in flight, how fast and how reliable it is, and whether it has stopped answering.
/// Notified of every attempt's start and end; read at each selection of a host and by load shedding.
///
/// Figures are parallel arrays by HostId. add() comes before any other use of a host.
class HostStatistics {
 public:
  /// The context must outlive this object.
  explicit HostStatistics(const EngineContext& context) : context_(context) {}

  /// Extends the arrays to that host. No effect where it is known.
  void add(HostId host);

  /// Forgets what was seen of a host that is new, back or restarted; attempts in flight remain.
  void reset(HostId host);

  void attemptStarted(HostId host);
  void attemptEnded(HostId host);

  /// Learns from the end of an attempt that was neither cancelled nor left unsent.
  void recordOutcome(const Request& request, const AttemptResult& result);

  /// Learns that an attempt in flight is overdue: its latency is `elapsed` at least.
  void recordOverdue(HostId host, Duration elapsed);

  /// Attempts in flight at all hosts.
  int inFlight() const { return totalInFlight_; }

  /// Attempts in flight at that host.
  int inFlight(HostId host) const { return inFlight_[host.value]; }

  /// Mean latency of all hosts in seconds; 0 before the first answer.
  double meanLatency() const { return meanLatency_; }

  /// The mean latency as a multiple of the host's own: above 1 for a fast host, 1 where either is unknown.
  double relativeSpeed(HostId host) const;

  /// Whether the host owes an answer and has sent nothing for several mean latencies, whatever the cause.
  bool unresponsive(HostId host) const;

  /// Whether an attempt that started at that time is likely lost, rather than queued at a slow host.
  bool overdue(HostId host, TimePoint startedAt) const;

  /// Probability with which the host is sendProbability with a request of that method and plan: 1 where
  /// nothing went wrong. A host may fail, leave unanswered or reject one method or one plan while it serves
  /// the rest. The cost is that a host that is seen seldom loses some requests after one chance error.
  double successFraction(HostId host, MethodId method, PlanId plan) const;

  /// Attempts that this gateway may have in flight at the host, so that answers come within the method's soft
  /// deadline. Follows what the host has lately answered in the time that an answer may wait, so that a host
  /// that slows down does not queue without end. The cost is that a host that was asked little is given more
  /// only gradually.
  double capacity(HostId host, const Method& method) const;

  /// The capacity of all hosts together. `hosts`: this gateway's part of their number, may be a fraction.
  double totalCapacity(const Method& method, double hosts) const;

  /// Requests that a host may have in flight from all gateways, if it answers so many per second.
  static double reportedCapacity(double responsesPerSecond, const Method& method);

 private:
  /// Outcomes of one kind of request at one host, decaying.
  struct Outcomes {
    util::DecayingCounter succeeded;
    util::DecayingCounter failed;
  };

  /// Whether the host owes an answer and has sent nothing for so many times the limit of unresponsive().
  bool silentFor(HostId host, double limitFactor) const;
  /// `previouslyReceivedAt`: when the host last sent anything before this latency was measured.
  void recordLatency(HostId host, double latencySeconds, TimePoint previouslyReceivedAt);
  void countOutcome(Outcomes& outcomes, bool succeeded) const;
  Outcomes& outcomesOf(HostId host, MethodId method);
  Outcomes& outcomesOf(HostId host, PlanId plan);
  /// Where a plan's outcomes are among those of a host.
  std::size_t outcomeIndex(PlanId plan) const;
  /// The probability that one kind of request succeeds, 1 where none failed.
  double successFraction(const Outcomes& outcomes) const;

  const EngineContext& context_;
  std::vector<double> latency_;  ///< By HostId, in seconds, smoothed; 0: unknown.
  std::vector<int> inFlight_;    ///< By HostId, attempts.
  std::vector<TimePoint>
      lastReceivedAt_;  ///< By HostId: last sign of the host, or the start of what it owes.
  std::vector<util::DecayingCounter> responses_;  ///< By HostId.
  std::vector<std::vector<Outcomes>> outcomes_;   ///< By HostId: by method, then by plan.
  util::DecayingCounter allResponses_;            ///< Of all hosts.
  double meanLatency_ = 0;                        ///< Of all hosts, in seconds, smoothed; 0: unknown.
  int totalInFlight_ = 0;                         ///< Attempts at all hosts.
};

}  // namespace merlinbridge::policy
