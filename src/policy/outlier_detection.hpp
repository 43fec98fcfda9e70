#pragma once

#include <vector>

#include "policy/engine_context.hpp"
#include "policy/reported_load.hpp"

namespace merlinbridge::policy {

/// Ejects hosts temporarily, that is, stops sending requests to them: hosts that are unreachable, with
/// exponential backoff, and hosts that report a queue too long to be processed in time. Notified of the end
/// of each attempt; read at each host selection and at each sweep of load shedding.
///
/// The data is stored in parallel arrays indexed by HostId. add() must be called before any other use of a
/// host.
class OutlierDetection {
 public:
  /// The context must outlive this object.
  explicit OutlierDetection(EngineContext& context) : context_(context) {}

  /// Extends the arrays to include the host. No effect if it is already known.
  void add(HostId host);

  /// Clears the data of a host that is new, back or restarted.
  void reset(HostId host);

  /// Whether the host must not be sent any request now.
  bool ejected(HostId host) const { return ejectedUntil_[host.value] > context_.now; }

  /// A connection to the host failed, or was lost during a request: ejects the host with backoff, because
  /// otherwise every gateway would keep retrying a host that is gone but still announced. Takes one random
  /// number.
  void recordUnreachable(HostId host);

  /// The host has responded: its next ejection starts again with the shortest duration.
  void recordResponse(HostId host);

  /// Evaluates the load that a host reported with a response. A host that has a queue, and more requests in
  /// flight than it can answer within the soft deadline, is ejected until it has answered at least those
  /// requests, or one per gateway if that takes longer. Gateways then need not detect the queue themselves.
  /// The cost: a host that recovers early stays ejected.
  void recordLoad(HostId host, const UsableLoad& load, const Method& method);

 private:
  /// Ejects the host for at least that duration from now.
  void eject(HostId host, Duration duration);

  EngineContext& context_;
  std::vector<TimePoint> ejectedUntil_;   ///< By HostId; a time in the past: not ejected.
  std::vector<int> consecutiveFailures_;  ///< By HostId: failures since the last response.
};

}  // namespace merlinbridge::policy
