#pragma once

#include <vector>

#include "policy/engine_context.hpp"
#include "util/decaying_counter.hpp"
#include "util/host_table.hpp"

namespace merlinbridge::policy {

/// Decides how much a host that warms up may be sent, from its age and from what hosts that have ramped up
/// are seen to answer, so that all gateways together do not overload it. Asked at each selection of a host;
/// notified of each attempt's start and answer.
///
/// A host's ramp factor rises from the settings' start capacity to 1 with its age. Its budget is granted for
/// a part of the settings' overload window at a time.
class SlowStart {
 public:
  /// The arguments must outlive this object.
  SlowStart(EngineContext& context, const util::HostTable& hosts) : context_(context), hosts_(hosts) {}

  /// Extends the arrays to that host. No effect where it is known.
  void add(HostId host);

  /// The least fraction of its capacity that the host has by now: from the settings' start capacity to 1.
  double rampFactor(HostId host) const;

  /// Whether the host has not reached its full capacity yet.
  bool inSlowStart(HostId host) const { return rampFactor(host) < 1; }

  /// Whether the host may be sent a request of so many units now; always true for a host that has ramped up.
  /// May draw at random. Each gateway keeps to its part of what hosts that have ramped up are seen to answer,
  /// retries and hedges included, under uneven traffic and bursts. What it does not use lapses. A part below
  /// one request is drawn for, once; nothing is granted ahead. Before anything was seen, all gateways
  /// together may send a little, which overloads no host.
  bool admits(HostId host, double units);

  /// A request of so many units is sent to the host, as a first attempt, a retry or a hedge.
  void spend(HostId host, double units);

  /// The host has answered a request of so many units.
  void recordResponse(HostId host, double units);

  /// Counts the hosts that serve and have ramped up. Called once for each selection.
  void countRampedUpHosts();

 private:
  /// What this gateway may still send a host in the present part of the overload window.
  struct Budget {
    double unitsLeft = 0;  ///< Units; below 0: sent ahead of the next part.
    TimePoint endsAt{};    ///< End of the part.
  };

  /// Starts the host's next part of the overload window where the last one is over.
  void renewIfExpired(Budget& budget, HostId host) const;
  /// Units that this gateway may send the host in one part of the overload window.
  double budgetUnits(HostId host) const;

  EngineContext& context_;
  const util::HostTable& hosts_;
  std::vector<Budget> budgets_;              ///< By HostId.
  util::DecayingCounter rampedUpHostUnits_;  ///< Units answered by one host that has ramped up, on average.
  int rampedUpHosts_ = 0;                    ///< As of the last selection.
  double meanUnits_ = 1;                     ///< Of a request that was answered, smoothed.
};

}  // namespace merlinbridge::policy
