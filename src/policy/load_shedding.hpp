#pragma once

#include <vector>

#include "policy/engine_context.hpp"
#include "policy/host_statistics.hpp"
#include "policy/outlier_detection.hpp"
#include "policy/reported_load.hpp"
#include "policy/state_notice.hpp"
#include "util/decaying_counter.hpp"
#include "util/host_table.hpp"

namespace merlinbridge::policy {

/// Decides which requests are rejected while the hosts are nearly full, the lowest priority first, from the
/// attempts in flight here, the hosts' capacity and what the hosts report. Asked for each request, after the
/// customer's limits; swept while attempts are in flight.
class LoadShedding {
 public:
  /// All arguments must outlive this object.
  LoadShedding(EngineContext& context, const util::HostTable& hosts, const HostStatistics& statistics,
               const OutlierDetection& outliers);

  /// Whether the hosts' utilization leaves capacity for a request of this method and plan.
  bool admits(const Request& request) const;

  /// A request was rejected for lack of capacity. Reports the start of load shedding.
  void recordShed();

  /// A host has stated its load with an answer. What one report counts for is bounded, so that a few
  /// overloaded hosts do not make all look full.
  void recordLoad(const UsableLoad& load, const Method& method);

  /// Counts the hosts' capacity anew, and reports the end of load shedding where nothing was rejected lately.
  /// To be called at intervals while active() or while attempts are in flight.
  void sweep();

  /// Whether load shedding was reported as started and not yet as stopped.
  bool active() const { return notice_.active(); }

 private:
  /// Utilization of all hosts for that method, 0 or more; 1: full. Hosts' reports come late, and what is in
  /// flight here may be a handful of attempts: where both are known, a weighted mean. Keeps hosts from being
  /// overloaded by more gateways than one can see.
  double utilization(MethodId method) const;
  /// Utilization as far as this gateway sees it: its attempts in flight over its part of the capacity.
  double ownUtilization(MethodId method) const;
  /// Utility times price, as a fraction of the highest that the settings have: 0 to 1.
  double priority(const Request& request) const;
  double highestPriority() const;
  /// Attempts that this gateway may have in flight at the hosts that serve, with requests of that method.
  double capacityOfHosts(const Method& method) const;

  EngineContext& context_;
  const util::HostTable& hosts_;
  const HostStatistics& statistics_;
  const OutlierDetection& outliers_;
  std::vector<double>
      capacityByMethod_;               ///< By MethodId: attempts at all hosts. Empty before the first sweep.
  util::DecayingCounter reportCount_;  ///< Load reports.
  util::DecayingCounter reportedUtilization_;  ///< Sum of the utilization in them, 1 for a full host.
  TimePoint lastShedAt_{};
  StateNotice notice_;
};

}  // namespace merlinbridge::policy
