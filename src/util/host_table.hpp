#pragma once

#include <optional>
#include <vector>

#include "policy_api/decision_engine.hpp"

namespace merlinbridge::util {

/// What discovery has announced of the hosts, as parallel arrays by HostId. A host that was announced once
/// stays in the table; it serves or it does not.
class HostTable {
 public:
  /// Takes over one update. Returns true where the host is new, serves again or has restarted: figures seen
  /// of it before do not hold any more.
  bool update(const HostUpdate& update);

  /// Takes over that discovery's complete list has these hosts: the others do not serve any more. To be
  /// followed by update() for each.
  void retainOnly(const std::vector<HostUpdate>& updates);

  /// Hosts that were announced, serving or not: their ids are below this number.
  std::size_t size() const { return serving_.size(); }

  bool serving(HostId host) const { return serving_[host.value] != 0; }
  int servingCount() const { return servingCount_; }

  /// When the host's process started; empty: long ago.
  std::optional<TimePoint> startedAt(HostId host) const { return startedAt_[host.value]; }

  /// Whether a repeat at one host is recognized by the other, for a method of that group.
  bool inSameGroup(DeduplicationScope group, HostId first, HostId second) const;

 private:
  /// Extends the arrays to that many hosts.
  void extendTo(std::size_t size);

  std::vector<char> serving_;  ///< 1 or 0.
  std::vector<ZoneId> zone_;
  std::vector<CellId> cell_;
  std::vector<std::optional<TimePoint>> startedAt_;  ///< Empty: long ago.
  int servingCount_ = 0;
};

/// Calls `visit` with the id of every host that was announced, in ascending order.
template <class Visit>
void forEachHost(const HostTable& hosts, Visit visit) {
  for (std::uint32_t host = 0; host < hosts.size(); ++host) visit(HostId{host});
}

}  // namespace merlinbridge::util
