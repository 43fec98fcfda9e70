#pragma once

#include <vector>

#include "policy/engine_context.hpp"
#include "policy/reported_load.hpp"

namespace merlinbridge::policy {

/// Decides which hosts are ejected (sent nothing) for a while: those that cannot be reached, with exponential
/// backoff, and those that report a queue that they cannot work off in time. Notified of the end of each
/// attempt; asked at each selection of a host and at each sweep of load shedding.
///
/// Figures are parallel arrays by HostId. add() comes before any other use of a host.
class OutlierDetection {
 public:
  /// The context must outlive this object.
  explicit OutlierDetection(EngineContext& context) : context_(context) {}

  /// Extends the arrays to that host. No effect where it is known.
  void add(HostId host);

  /// Forgets what was seen of a host that is new, back or restarted.
  void reset(HostId host);

  /// Whether the host is to be sent nothing now.
  bool ejected(HostId host) const { return ejectedUntil_[host.value] > context_.now; }

  /// A connection to the host failed, or was lost under a request. Draws at random once.
  /// Backs off from a host that is gone and still announced, which every gateway would otherwise try again
  /// and again.
  void recordUnreachable(HostId host);

  /// The host has answered: the next ejection starts from the shortest.
  void recordResponse(HostId host);

  /// The host has stated its load with an answer.
  /// A queue need not be found out by each gateway: a host that has more in flight than it answers within the
  /// soft deadline is ejected until that is done and its rate has this gateway's turn. The cost is that a
  /// host that recovers early stays ejected.
  void recordLoad(HostId host, const UsableLoad& load, const Method& method);

 private:
  /// Ejects the host for at least that time from now.
  void eject(HostId host, Duration time);

  EngineContext& context_;
  std::vector<TimePoint> ejectedUntil_;   ///< By HostId; in the past: not ejected.
  std::vector<int> consecutiveFailures_;  ///< By HostId: failures since the last answer.
};

}  // namespace merlinbridge::policy
