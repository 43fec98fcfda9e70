#pragma once

#include <vector>

#include "policy/engine_context.hpp"
#include "util/decaying_counter.hpp"

namespace merlinbridge::policy {

/// Determines from this gateway's observations of the hosts (latency, rates, attempts in flight) how many
/// attempts a host may have in flight, how fast and how reliable it is, and whether it has stopped
/// responding. Notified of the start and end of each attempt; read at each host selection and by load
/// shedding.
///
/// The data is stored in parallel arrays indexed by HostId. add() must be called before any other use of a
/// host.
class HostStatistics {
 public:
  /// The context must outlive this object.
  explicit HostStatistics(const EngineContext& context) : context_(context) {}

  /// Extends the arrays to include the host. No effect if it is already known.
  void add(HostId host);

  /// Clears the data of a host that is new, back or restarted, except its attempts in flight.
  void reset(HostId host);

  void attemptStarted(HostId host);
  void attemptEnded(HostId host);

  /// Records the end of an attempt that was sent and not cancelled.
  void recordOutcome(const Request& request, const AttemptResult& result);

  /// Records that an attempt in flight is overdue: its latency is at least `elapsed`.
  void recordOverdue(HostId host, Duration elapsed);

  /// Attempts in flight at all hosts.
  int inFlight() const { return totalInFlight_; }

  /// Attempts in flight at that host.
  int inFlight(HostId host) const { return inFlight_[host.value]; }

  /// Mean latency of all hosts in seconds; 0 before the first response.
  double meanLatency() const { return meanLatency_; }

  /// Mean latency of all hosts divided by the host's latency: above 1 for a fast host; 1 if either is
  /// unknown.
  double relativeSpeed(HostId host) const;

  /// Whether the host has attempts in flight and has not responded for several mean latencies, whatever the
  /// cause.
  bool unresponsive(HostId host) const;

  /// Whether an attempt that started at `startedAt` is probably lost rather than queued at a slow host.
  bool overdue(HostId host, TimePoint startedAt) const;

  /// Probability with which the host is used for a request of this method and plan: 1 if it has not failed
  /// any. A host may fail, not respond to or reject one method or plan and still serve the others. The cost:
  /// a host with few responses loses some requests after a single accidental error.
  double successFraction(HostId host, MethodId method, PlanId plan) const;

  /// Attempts that this gateway may have in flight at the host, so that responses arrive within the method's
  /// soft deadline: as many as the host has recently answered in the time that a request may wait. This
  /// bounds the queue of a host that slows down. The cost: the load of a host that got few requests can rise
  /// only gradually.
  double capacity(HostId host, const Method& method) const;

  /// The capacity of all hosts together. `hosts`: the number of hosts divided by the number of gateways.
  double totalCapacity(const Method& method, double hosts) const;

  /// Requests from all gateways that a host with this response rate may have in flight.
  static double reportedCapacity(double responsesPerSecond, const Method& method);

 private:
  /// Decaying counts of the outcomes of one method or plan at one host.
  struct Outcomes {
    util::DecayingCounter succeeded;
    util::DecayingCounter failed;
  };

  /// Whether the host has attempts in flight and has not responded for `limitFactor` times the limit of
  /// unresponsive().
  bool silentFor(HostId host, double limitFactor) const;
  /// `previouslyReceivedAt`: time of the host's last response before this one. The longer ago, the larger the
  /// weight of this latency.
  void recordLatency(HostId host, double latencySeconds, TimePoint previouslyReceivedAt);
  void countOutcome(Outcomes& outcomes, bool succeeded) const;
  Outcomes& outcomesOf(HostId host, MethodId method);
  Outcomes& outcomesOf(HostId host, PlanId plan);
  /// Index of a plan's outcomes among the outcomes of a host.
  std::size_t outcomeIndex(PlanId plan) const;
  /// Fraction of the outcomes that are successes; 1 if none failed.
  double successFraction(const Outcomes& outcomes) const;

  const EngineContext& context_;
  std::vector<double> latency_;            ///< By HostId, smoothed, in seconds; 0: unknown.
  std::vector<int> inFlight_;              ///< By HostId, in attempts.
  std::vector<TimePoint> lastReceivedAt_;  ///< By HostId: last response or lost connection, or start of the
                                           ///< first attempt in flight.
  std::vector<util::DecayingCounter> responses_;  ///< By HostId.
  std::vector<std::vector<Outcomes>> outcomes_;   ///< By HostId: first by method, then by plan.
  util::DecayingCounter allResponses_;            ///< Of all hosts.
  double meanLatency_ = 0;                        ///< Of all hosts, smoothed, in seconds; 0: unknown.
  int totalInFlight_ = 0;                         ///< Attempts at all hosts.
};

}  // namespace merlinbridge::policy
