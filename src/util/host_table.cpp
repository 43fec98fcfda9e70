#include "util/host_table.hpp"

#include <utility>

namespace merlinbridge::util {

void HostTable::extendTo(std::size_t size) {
  if (size <= serving_.size()) return;
  serving_.resize(size);
  zone_.resize(size);
  cell_.resize(size);
  startedAt_.resize(size);
}

bool HostTable::update(const HostUpdate& update) {
  const std::size_t host = update.host.value;
  extendTo(host + 1);
  const bool restarted = update.startedAt != startedAt_[host];
  const bool mustResetStatistics = restarted || !serving_[host];
  servingCount_ += int{update.serving} - serving_[host];
  serving_[host] = update.serving;
  zone_[host] = update.zone;
  cell_[host] = update.cell;
  startedAt_[host] = update.startedAt;
  return mustResetStatistics;
}

void HostTable::markUnlistedNotServing(const std::vector<HostUpdate>& updates) {
  std::vector<char> isListed(serving_.size(), 0);
  for (const HostUpdate& update : updates)
    if (update.host.value < isListed.size()) isListed[update.host.value] = 1;
  for (std::size_t host = 0; host < isListed.size(); ++host)
    if (!isListed[host]) servingCount_ -= std::exchange(serving_[host], 0);
}

bool HostTable::inSameDeduplicationScope(DeduplicationScope scope, const DeduplicationDomain& earlier,
                                         HostId host) const {
  switch (scope) {
    case DeduplicationScope::all:
      return true;
    case DeduplicationScope::zone:
      return earlier.zone == zone_[host.value];
    case DeduplicationScope::cell:
      break;
  }
  return earlier.cell == cell_[host.value];
}

}  // namespace merlinbridge::util
