#pragma once

#include <vector>

#include "policy/engine_context.hpp"

namespace merlinbridge::policy {

/// Decides whether the process at a host's address may be taken for the one that discovery has announced.
/// After a connection to the host has broken, another process may answer at its address, in another zone or
/// cell and without memory of earlier requests, before discovery announces it. Notified of broken connections
/// and of announced hosts; read before a repeat that is allowed only because the host recognizes it.
///
/// The data is stored by HostId. add() must be called before any other use of a host.
class HostIdentity {
 public:
  /// The context must outlive this object.
  explicit HostIdentity(const EngineContext& context) : context_(context) {}

  /// Extends the data to include the host. No effect if it is already known.
  void add(HostId host);
  /// Discovery has announced a new process of the host.
  void reset(HostId host) { uncertainUntil_[host.value] = TimePoint{}; }
  /// A connection to the host could not be made, or has broken.
  void recordBroken(HostId host);
  /// Whether the host is surely the announced one.
  bool isCertain(HostId host) const { return uncertainUntil_[host.value] <= context_.now; }

 private:
  const EngineContext& context_;
  std::vector<TimePoint> uncertainUntil_;  ///< By HostId; a time in the past: certain.
};

}  // namespace merlinbridge::policy
