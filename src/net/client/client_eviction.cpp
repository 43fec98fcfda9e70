#include "net/client/client_eviction.hpp"

#include <algorithm>

#include "net/client/client_connection.hpp"

namespace merlinbridge::net {
namespace {

// No more than maxConnections / kMaxEvictedDivisor connections are evicted at once.
constexpr std::size_t kMaxEvictedDivisor = 8;

}  // namespace

// The target doubles so that a burst of new clients is admitted quickly: at one client per round trip, the
// others would time out.
std::optional<TimePoint> ClientEviction::evictConnections(const std::vector<SlotRef>& connections) {
  std::size_t closing = countClosing(connections);
  if (closing >= evictionTarget_) return std::nullopt;
  closing += evictIdle(connections, evictionTarget_ - closing);
  IncompleteEvictions incomplete;
  if (closing < evictionTarget_) incomplete = evictIncomplete(connections, evictionTarget_ - closing);
  evictionTarget_ =
      std::min(2 * evictionTarget_, std::max<std::size_t>(1, maxConnections_ / kMaxEvictedDivisor));
  return incomplete.nextAt;
}

std::size_t ClientEviction::countClosing(const std::vector<SlotRef>& connections) {
  const auto isClosing = [this](SlotRef ref) {
    const ClientConnection* const client = loop_.find<ClientConnection>(ref);
    return client && client->isLingering();
  };
  return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(), isClosing));
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

// ClientDeadlines::evictableAt() leaves each incomplete request at least half of its time.
ClientEviction::IncompleteEvictions ClientEviction::evictIncomplete(const std::vector<SlotRef>& connections,
                                                                    std::size_t maxCount) {
  auto incomplete = selectConnections(
      connections, [](const ClientConnection& client) { return client.hasIncompleteRequest(); });
  std::sort(incomplete.begin(), incomplete.end(), [](const ClientConnection* a, const ClientConnection* b) {
    return a->evictableAt() < b->evictableAt();
  });
  IncompleteEvictions evicted;
  for (ClientConnection* const client : incomplete) {
    if (evicted.count >= maxCount) break;
    if (client->evictableAt() > loop_.now()) {
      evicted.nextAt = client->evictableAt();
      break;
    }
    client->timeOutRequest(closeTimeout_);
    ++evicted.count;
  }
  return evicted;
}

}  // namespace merlinbridge::net
