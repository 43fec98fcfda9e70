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

/// Rejects requests while the hosts are nearly at capacity, lowest priority first, based on the attempts in
/// flight at this gateway, the hosts' capacity and the hosts' load reports. Checked for each request, after
/// the customer's limits; swept while attempts are in flight.
class LoadShedding {
 public:
  /// All arguments must outlive this object.
  LoadShedding(EngineContext& context, const util::HostTable& hosts, const HostStatistics& statistics,
               const OutlierDetection& outliers);

  /// Whether the hosts' utilization leaves capacity for a request of this priority.
  bool admits(const Request& request) const;

  /// Records that a request was rejected for lack of capacity, and reports the start of load shedding.
  void recordShed();

  /// Records the load that a host reported with a response. The effect of one report is bounded, so that a
  /// few overloaded hosts do not make all hosts look overloaded.
  void recordLoad(const UsableLoad& load, const Method& method);

  /// Recalculates the hosts' capacity, and reports the end of load shedding if no request was rejected
  /// recently. Must be called regularly while active() or while attempts are in flight.
  void sweep();

  /// Whether the start of load shedding was reported and its end was not.
  bool active() const { return notice_.active(); }

 private:
  /// Utilization of all hosts for this method, 0 or more; 1: at capacity. The weighted mean of the hosts'
  /// reports and this gateway's observation, because reports are late and this gateway alone may have only a
  /// few attempts in flight. The reports prevent overload caused by the other gateways.
  double utilization(MethodId method) const;
  /// Utilization as observed by this gateway: its attempts in flight divided by its part of the capacity.
  double ownUtilization(MethodId method) const;
  /// Utility times price, divided by the highest such product in the settings: 0 to 1.
  double priority(const Request& request) const;
  double highestPriority() const;
  /// Attempts that this gateway may have in flight at all available hosts, with requests of this method.
  double capacityOfHosts(const Method& method) const;

  EngineContext& context_;
  const util::HostTable& hosts_;
  const HostStatistics& statistics_;
  const OutlierDetection& outliers_;
  std::vector<double> capacityByMethod_;       ///< By MethodId, in attempts. Empty before the first sweep.
  util::DecayingCounter reportCount_;          ///< Number of load reports.
  util::DecayingCounter reportedUtilization_;  ///< Sum of the reported utilizations; 1: at capacity.
  TimePoint lastShedAt_{};
  StateNotice notice_;
};

}  // namespace merlinbridge::policy
