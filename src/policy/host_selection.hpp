#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "policy/engine_context.hpp"
#include "policy/host_statistics.hpp"
#include "policy/outlier_detection.hpp"
#include "policy/slow_start.hpp"
#include "util/host_table.hpp"

namespace merlinbridge::policy {

/// Selects the host for each attempt: weighted round robin over the hosts that serve and are available for
/// the request. A host's weight depends on its speed and its slow start.
///
/// Each host has a credit. A selection adds each candidate's weight to its credit, chooses the candidate with
/// the highest credit, and subtracts the total weight of the candidates from the credit of the chosen one.
class HostSelection {
 public:
  /// Whether the request may be sent to the host at all. Called once per selection for each host that serves.
  using HostFilter = std::function<bool(HostId)>;

  /// All arguments must outlive this object.
  HostSelection(EngineContext& context, const util::HostTable& hosts, const HostStatistics& statistics,
                const OutlierDetection& outliers, SlowStart& slowStart);

  /// Extends the arrays to include the host. No effect if it is already known.
  void add(HostId host);

  /// The host is new, back or restarted: it gets a new random initial credit.
  void reset(HostId host);

  /// Selects the host for an attempt; empty if no host is available for the request now. Uses random numbers.
  std::optional<HostId> select(const Request& request, const HostFilter& allowed);

 private:
  /// The host's weight in the round robin, above 0.
  double weight(HostId host) const;
  /// Whether the request may be sent to the host now: not if the host is ejected, unresponsive or at
  /// capacity. A host that has failed requests of this method or plan is available with a probability; this
  /// takes a random number.
  bool isAvailable(HostId host, const Request& request);
  bool hasFreeCapacity(HostId host, const Method& method) const;
  /// Makes the host a candidate and adds its weight to its credit. The initial credit is random, so that many
  /// gateways do not select the same host at the same time after a start of the gateways or of the host.
  void addCandidate(HostId host);
  /// Chooses the candidate with the highest credit that slow start admits. A host in slow start without
  /// budget keeps its credit until it has budget again.
  std::optional<HostId> chooseCandidate(double units);
  std::vector<HostId>::iterator highestCredit();

  EngineContext& context_;
  const util::HostTable& hosts_;
  const HostStatistics& statistics_;
  const OutlierDetection& outliers_;
  SlowStart& slowStart_;
  std::vector<double> credit_;            ///< By HostId, in units of weight; the highest is chosen next.
  std::vector<char> needsInitialCredit_;  ///< By HostId; 1: not a candidate since reset().
  std::vector<HostId> candidates_;        ///< Of the current selection, in ascending order.
  double totalWeight_ = 0;                ///< Of all candidates.
};

}  // namespace merlinbridge::policy
