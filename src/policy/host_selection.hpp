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

/// Decides which host an attempt goes to: weighted round robin over the hosts that serve and may be sent the
/// request. A host's weight follows its speed and its slow start. Called for each attempt.
///
/// Each host has a credit: a selection adds its weight to every candidate, and takes the candidates' total
/// weight from the one that is chosen, which is the one with the highest credit.
class HostSelection {
 public:
  /// Whether the request may go to that host at all. Asked once in a selection for each host that serves.
  using HostFilter = std::function<bool(HostId)>;

  /// All arguments must outlive this object.
  HostSelection(EngineContext& context, const util::HostTable& hosts, const HostStatistics& statistics,
                const OutlierDetection& outliers, SlowStart& slowStart);

  /// Extends the arrays to that host. No effect where it is known.
  void add(HostId host);

  /// The host is new, back or restarted: its place in the rotation is drawn anew.
  void reset(HostId host);

  /// Selects the host of an attempt; empty where no host may be sent the request now. Draws at random.
  std::optional<HostId> select(const Request& request, const HostFilter& allowed);

 private:
  /// The host's weight in the rotation, above 0.
  double weight(HostId host) const;
  /// Whether the host may be sent the request now: not where it is ejected, unresponsive or full, and by
  /// chance not where it fails this kind of request. Draws at random for a host that has failed this kind of
  /// request.
  bool isAvailable(HostId host, const Request& request);
  bool hasFreeCapacity(HostId host, const Method& method) const;
  /// Makes the host a candidate and adds its weight to its credit. Its place in the rotation is drawn the
  /// first time, so that many gateways do not give one host its turn at once: this gateway may just have
  /// started, or the host.
  void addCandidate(HostId host);
  /// Chooses the candidate with the highest credit that slow start admits. A host that warms up and has no
  /// budget left keeps its credit, and so its turn, until it has.
  std::optional<HostId> chooseCandidate(double units);
  std::vector<HostId>::iterator highestCredit();

  EngineContext& context_;
  const util::HostTable& hosts_;
  const HostStatistics& statistics_;
  const OutlierDetection& outliers_;
  SlowStart& slowStart_;
  std::vector<double> credit_;            ///< By HostId, in units of weight; the highest has the next turn.
  std::vector<char> needsInitialCredit_;  ///< By HostId; 1: has had no turn since it came.
  std::vector<HostId> candidates_;        ///< Of the present selection, in ascending order.
  double totalWeight_ = 0;                ///< Of the candidates.
};

}  // namespace merlinbridge::policy
