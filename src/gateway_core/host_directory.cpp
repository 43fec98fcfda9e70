#include "gateway_core/host_directory.hpp"

#include <utility>

namespace merlinbridge::core {

std::optional<HostId> HostDirectory::update(TimePoint now, const config::Endpoint& endpoint) {
  const auto hostId = findOrAdd(now, endpoint);
  if (!hostId) return std::nullopt;
  Host& host = hosts_[hostId->value];
  // Connections to an earlier incarnation may look open: no close reaches the gateway from a machine that
  // crashed.
  const bool restarted = std::exchange(host.startedAt, endpoint.started) != endpoint.started;
  const bool moved = !endpoint.address.empty() && !host.address.empty() && endpoint.address != host.address;
  if (!endpoint.serving || restarted || moved) observer_.hostUnavailable(*hostId);
  if (!endpoint.address.empty()) host.address = endpoint.address;
  setPresence(host, endpoint.gone ? Presence::gone : Presence::listed, now);
  return hostId;
}

void HostDirectory::removeUnlisted(TimePoint now, const std::vector<HostUpdate>& listed) {
  std::vector<bool> isListed(hosts_.size(), false);
  for (const HostUpdate& update : listed) isListed[update.host.value] = true;
  for (std::uint32_t number = 0; number < hosts_.size(); ++number) {
    Host& host = hosts_[number];
    if (isListed[number] || host.presence == Presence::gone) continue;
    setPresence(host, Presence::gone, now);
    observer_.hostUnavailable({number});
  }
}

std::optional<HostId> HostDirectory::findOrAdd(TimePoint now, const config::Endpoint& endpoint) {
  if (const auto known = names_.find(endpoint.name)) return known;
  if (endpoint.gone) return std::nullopt;
  if (const auto reusable = findReusable(now)) {
    reuseNumber(*reusable, endpoint);
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

// Numbers are reused even while some are free: the engine's work for a request grows with the highest number.
// In a full directory the reserved time is waived, because a new host that gets no number serves nobody.
std::optional<HostId> HostDirectory::findReusable(TimePoint now) const {
  const bool full = hosts_.size() >= kMaxHosts;
  for (std::uint32_t number = 0; number < hosts_.size(); ++number) {
    const Host& host = hosts_[number];
    if (host.presence != Presence::gone || host.attemptsInFlight > 0) continue;
    if (full || now - host.goneAt > numberReuseDelay_) return HostId{number};
  }
  return std::nullopt;
}

void HostDirectory::reuseNumber(HostId hostId, const config::Endpoint& endpoint) {
  names_.reassign(hostId, endpoint.name);
  // Idle connections under this number lead to the removed host's machine.
  observer_.hostUnavailable(hostId);
  Host& host = hosts_[hostId.value];
  host.address.clear();
  host.startedAt = endpoint.started;
  host.presence = Presence::listed;
}

void HostDirectory::setPresence(Host& host, Presence presence, TimePoint now) {
  if (host.presence != presence) host.goneAt = now;
  host.presence = presence;
}

}  // namespace merlinbridge::core
