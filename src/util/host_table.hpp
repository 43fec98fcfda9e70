#pragma once

#include <optional>
#include <vector>

#include "policy_api/decision_engine.hpp"

namespace merlinbridge::util {

/// The zone and the cell of a host. They may change when the host restarts.
struct DeduplicationDomain {
  ZoneId zone;
  CellId cell;
};

/// The hosts that discovery has announced, as parallel arrays indexed by HostId. A host is never removed: one
/// that is gone stays in the table as not serving.
class HostTable {
 public:
  /// Applies one update. Returns true if the host is new, serves again or has restarted, so that statistics
  /// collected on it before are no longer valid.
  bool update(const HostUpdate& update);

  /// Marks all hosts that are not in `updates`, the complete list from discovery, as not serving. The caller
  /// then calls update() for each entry.
  void markUnlistedNotServing(const std::vector<HostUpdate>& updates);

  /// The number of hosts announced so far, serving or not. All host ids are below it.
  std::size_t size() const { return serving_.size(); }

  bool serving(HostId host) const { return serving_[host.value] != 0; }
  int servingCount() const { return servingCount_; }

  /// When the host's process started. Empty: long ago.
  std::optional<TimePoint> startedAt(HostId host) const { return startedAt_[host.value]; }

  /// Where the host is now.
  DeduplicationDomain deduplicationDomain(HostId host) const {
    return {zone_[host.value], cell_[host.value]};
  }
  /// Whether the host recognizes repeats of requests that were sent to a host in `earlier`, for a method of
  /// that scope.
  bool inSameDeduplicationScope(DeduplicationScope scope, const DeduplicationDomain& earlier,
                                HostId host) const;

 private:
  /// Extends the arrays to `size` hosts if they are shorter.
  void extendTo(std::size_t size);

  std::vector<char> serving_;  ///< 1 or 0.
  std::vector<ZoneId> zone_;
  std::vector<CellId> cell_;
  std::vector<std::optional<TimePoint>> startedAt_;  ///< Empty: long ago.
  int servingCount_ = 0;
};

/// Calls `visit` with the id of every host in the table, in ascending order.
template <class Visit>
void forEachHost(const HostTable& hosts, Visit visit) {
  for (std::uint32_t host = 0; host < hosts.size(); ++host) visit(HostId{host});
}

}  // namespace merlinbridge::util
