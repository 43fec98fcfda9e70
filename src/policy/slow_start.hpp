#pragma once

#include <vector>

#include "policy/engine_context.hpp"
#include "util/decaying_counter.hpp"
#include "util/host_table.hpp"

namespace merlinbridge::policy {

/// Limits the load of a host in slow start, based on its age and the observed throughput of ramped-up hosts,
/// so that all gateways together do not overload it. Checked at each host selection; notified of the start
/// and response of each attempt.
///
/// The ramp factor of a host rises with its age from the start capacity in the settings to 1. Its budget is
/// set for one part of the overload window at a time.
class SlowStart {
 public:
  /// The arguments must outlive this object.
  SlowStart(EngineContext& context, const util::HostTable& hosts) : context_(context), hosts_(hosts) {}

  /// Extends the arrays to include the host. No effect if it is already known.
  void add(HostId host);

  /// The fraction of its full capacity that the host has at least: from the start capacity in the settings
  /// to 1.
  double rampFactor(HostId host) const;

  /// Whether the host has not yet reached its full capacity.
  bool inSlowStart(HostId host) const { return rampFactor(host) < 1; }

  /// Whether a request that costs `units` may be sent to the host now; always true for a ramped-up host. May
  /// take a random number. Each gateway limits itself to its part of the observed throughput, including
  /// retries and hedged requests, even with uneven traffic and bursts. Unused budget expires. If the rest of
  /// the budget is less than the request, the request is admitted once with a probability equal to that
  /// fraction; budget of later parts is not used ahead. Before any response was observed, all gateways
  /// together may send a few requests, which overload no host.
  bool admits(HostId host, double units);

  /// Takes the units of a request that is sent to the host, as a first attempt, a retry or a hedge.
  void spend(HostId host, double units);

  /// Records that the host has responded to a request that costs `units`.
  void recordResponse(HostId host, double units);

  /// Counts the ramped-up hosts that serve. Called once per host selection.
  void countRampedUpHosts();

 private:
  /// The units that this gateway may still send to a host in the current part of the overload window.
  struct Budget {
    double unitsLeft = 0;  ///< Below 0: overspent; the deficit is subtracted from the next part.
    TimePoint endsAt{};    ///< End of the current part.
  };

  /// Starts the next part of the overload window for the host if the current part is over.
  void renewIfExpired(Budget& budget, HostId host) const;
  /// The units that this gateway may send to the host in one part of the overload window.
  double budgetUnits(HostId host) const;

  EngineContext& context_;
  const util::HostTable& hosts_;
  std::vector<Budget> budgets_;              ///< By HostId.
  util::DecayingCounter rampedUpHostUnits_;  ///< Units answered per ramped-up host.
  int rampedUpHosts_ = 0;                    ///< As of the last selection.
  double meanUnits_ = 1;                     ///< Mean cost of an answered request, smoothed.
};

}  // namespace merlinbridge::policy
