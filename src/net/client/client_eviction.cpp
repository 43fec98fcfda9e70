#include "net/client/client_eviction.hpp"

#include <algorithm>

#include "net/client/client_connection.hpp"

namespace merlinbridge::net {
namespace {

// No more than this part of the connections is evicted at once,
constexpr std::size_t kMaxEvictedDivisor = 8;
// or this part while waiting clients are overdue: most of those close within a few milliseconds.
constexpr std::size_t kMaxOverdueEvictedDivisor = 2;
// Pause before lingering connections are looked at again, for the acknowledgement of what was sent.
constexpr Duration kAcknowledgementPause = std::chrono::milliseconds(10);

// When an incomplete request may be evicted: after half of its time, or once waiting clients are overdue and
// it has stalled.
TimePoint evictableAt(const ClientConnection& client, const WaitingClients& waiting) {
  const TimePoint stalledAt = client.lastReceivedAt() + waiting.stallTime();
  return std::min(client.evictableAt(), std::max(waiting.overdueAt(), stalledAt));
}

TimePoint earlier(std::optional<TimePoint> a, TimePoint b) {
  return a ? std::min(*a, b) : b;
}

}  // namespace

EvictionResult ClientEviction::evictConnections(const std::vector<SlotRef>& connections,
                                                const WaitingClients& waiting) {
  const bool areOverdue = loop_.now() >= waiting.overdueAt();
  const std::size_t maxTarget = std::max<std::size_t>(
      1, maxConnections_ / (areOverdue ? kMaxOverdueEvictedDivisor : kMaxEvictedDivisor));
  const std::size_t target = std::min(evictionTarget_, maxTarget);
  const std::size_t closed = areOverdue ? closeLingering(connections, target, waiting.stallTime()) : 0;
  const std::size_t lingering = countLingering(connections);
  std::size_t wanted = target - std::min(target, closed + lingering);
  IncompleteEvictions incomplete;
  if (areOverdue) incomplete = evictIncomplete(connections, wanted, waiting);
  wanted -= incomplete.count;
  if (wanted > 0) wanted -= evictIdle(connections, wanted);
  if (wanted > 0 && !areOverdue) incomplete = evictIncomplete(connections, wanted, waiting);
  // The target doubles so that a burst of new clients is admitted quickly: at one client per round trip, the
  // others would time out.
  if (closed > 0 || lingering < target) evictionTarget_ = std::min(2 * target, maxTarget);
  EvictionResult result{closed > 0, incomplete.nextAt};
  if (!areOverdue)
    result.nextAt = earlier(result.nextAt, waiting.overdueAt());
  else if (lingering + incomplete.count > 0)
    result.nextAt = earlier(result.nextAt, loop_.now() + kAcknowledgementPause);
  return result;
}

std::size_t ClientEviction::countLingering(const std::vector<SlotRef>& connections) {
  const auto isLingering = [this](SlotRef ref) {
    const ClientConnection* const client = loop_.find<ClientConnection>(ref);
    return client && client->isLingering();
  };
  return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(), isLingering));
}

// The returned pointers are valid until the end of the turn, even if a connection closes in the meantime.
template <class Predicate>
std::vector<ClientConnection*> ClientEviction::selectConnections(const std::vector<SlotRef>& connections,
                                                                 Predicate predicate) {
  std::vector<ClientConnection*> selected;
  for (const SlotRef ref : connections)
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref); client && predicate(*client))
      selected.push_back(client);
  return selected;
}

// A client that still sends would be reset, so only those are closed that have been quiet. Returns their
// number.
std::size_t ClientEviction::closeLingering(const std::vector<SlotRef>& connections, std::size_t maxCount,
                                           Duration quietTime) {
  const auto lingering = selectConnections(connections, [&](const ClientConnection& client) {
    return client.isLingering() && client.lastReceivedAt() + quietTime <= loop_.now();
  });
  std::size_t closed = 0;
  for (ClientConnection* const client : lingering) {
    if (closed >= maxCount) break;
    if (!client->hasLingeredEnough()) continue;
    client->endLingering();
    ++closed;
  }
  return closed;
}

// Keeps idle connections with unread data, which is a request that has already arrived. Returns the number of
// evicted connections.
std::size_t ClientEviction::evictIdle(const std::vector<SlotRef>& connections, std::size_t maxCount) {
  auto idle = selectConnections(connections, [](const ClientConnection& client) { return client.isIdle(); });
  std::sort(idle.begin(), idle.end(), [](const ClientConnection* a, const ClientConnection* b) {
    return a->idleSince() < b->idleSince();
  });
  std::size_t evicted = 0;
  for (ClientConnection* const client : idle) {
    if (evicted >= maxCount) break;
    if (!client->hasNothingToRead()) continue;
    client->lingeringClose(closeTimeout_, ConnectionEndReason::evicted);
    ++evicted;
  }
  return evicted;
}

// Those that have sent nothing for longest are evicted first.
ClientEviction::IncompleteEvictions ClientEviction::evictIncomplete(const std::vector<SlotRef>& connections,
                                                                    std::size_t maxCount,
                                                                    const WaitingClients& waiting) {
  auto incomplete = selectConnections(
      connections, [](const ClientConnection& client) { return client.hasIncompleteRequest(); });
  std::sort(incomplete.begin(), incomplete.end(), [](const ClientConnection* a, const ClientConnection* b) {
    return a->lastReceivedAt() < b->lastReceivedAt();
  });
  IncompleteEvictions evicted;
  for (ClientConnection* const client : incomplete) {
    const TimePoint at = evictableAt(*client, waiting);
    if (at > loop_.now()) {
      evicted.nextAt = earlier(evicted.nextAt, at);
    } else if (evicted.count < maxCount) {
      client->timeOutRequest(closeTimeout_);
      ++evicted.count;
    }
  }
  return evicted;
}

}  // namespace merlinbridge::net
