#include "gateway_core/host_directory.hpp"

#include <utility>

namespace merlinbridge::core {

std::optional<HostId> HostDirectory::update(TimePoint now, const config::Endpoint& endpoint) {
  const auto hostId = findOrAdd(now, endpoint);
  if (!hostId) return std::nullopt;
  Host& host = hosts_[hostId->value];
  // Connections to the host's previous process may still look open: a machine that crashed does not close
  // them.
  const bool restarted = std::exchange(host.startedAt, endpoint.started) != endpoint.started;
  const bool moved = !endpoint.address.empty() && !host.address.empty() && endpoint.address != host.address;
  if (!endpoint.serving || restarted || moved) markUnavailable(*hostId);
  if (!endpoint.address.empty()) host.address = endpoint.address;
  setPresence(host, endpoint.gone ? Presence::gone : Presence::listed, now);
  return hostId;
}

void HostDirectory::markUnlistedGone(TimePoint now, const std::vector<HostUpdate>& listed) {
  std::vector<bool> isListed(hosts_.size(), false);
  for (const HostUpdate& update : listed) isListed[update.host.value] = true;
  for (std::uint32_t index = 0; index < hosts_.size(); ++index) {
    Host& host = hosts_[index];
    if (isListed[index] || host.presence == Presence::gone) continue;
    setPresence(host, Presence::gone, now);
    markUnavailable({index});
  }
}

std::optional<HostId> HostDirectory::findOrAdd(TimePoint now, const config::Endpoint& endpoint) {
  if (const auto known = names_.find(endpoint.name)) return known;
  if (endpoint.gone) return std::nullopt;
  if (const auto reusable = findReusableId(now)) {
    reuseId(*reusable, endpoint);
    return reusable;
  }
  if (hosts_.size() >= kMaxHosts) {
    observer_.endpointTableFull(endpoint.name);
    return std::nullopt;
  }
  hosts_.emplace_back();
  hosts_.back().startedAt = endpoint.started;
  return names_.findOrAdd(endpoint.name);
}

// Reuses ids before the table is full, because the engine's work per request grows with the highest id. In a
// full directory the reuse delay is skipped: a new host without an id would get no requests at all.
std::optional<HostId> HostDirectory::findReusableId(TimePoint now) const {
  const bool full = hosts_.size() >= kMaxHosts;
  for (std::uint32_t index = 0; index < hosts_.size(); ++index) {
    const Host& host = hosts_[index];
    if (host.presence != Presence::gone || host.attemptsInFlight > 0) continue;
    if (full || now - host.goneAt > idReuseDelay_) return HostId{index};
  }
  return std::nullopt;
}

void HostDirectory::reuseId(HostId hostId, const config::Endpoint& endpoint) {
  names_.reassign(hostId, endpoint.name);
  // Idle connections under this id still lead to the removed host.
  markUnavailable(hostId);
  Host& host = hosts_[hostId.value];
  host.address.clear();
  host.startedAt = endpoint.started;
  host.presence = Presence::listed;
}

void HostDirectory::markUnavailable(HostId hostId) {
  ++hosts_[hostId.value].incarnation;
  observer_.hostUnavailable(hostId);
}

void HostDirectory::setPresence(Host& host, Presence presence, TimePoint now) {
  if (host.presence != presence) host.goneAt = now;
  host.presence = presence;
}

}  // namespace merlinbridge::core
