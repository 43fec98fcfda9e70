#include "net/client/client_eviction.hpp"

#include <algorithm>

#include "net/client/client_connection.hpp"

namespace merlinbridge::net {
namespace {

// At most this part of all connections is evicted at once.
constexpr std::size_t kMaxEvictedParts = 8;

}  // namespace

// The doubling lets a crowd in quickly: with one new client in each round trip, the others would time out.
std::optional<TimePoint> ClientEviction::makeRoom(const std::vector<SlotRef>& connections) {
  std::size_t closing = countClosing(connections);
  if (closing >= wanted_) return std::nullopt;
  closing += evictIdle(connections, wanted_ - closing);
  IncompleteEvicted incomplete;
  if (closing < wanted_) incomplete = evictIncomplete(connections, wanted_ - closing);
  wanted_ = std::min(2 * wanted_, std::max<std::size_t>(1, maxConnections_ / kMaxEvictedParts));
  return incomplete.nextAt;
}

std::size_t ClientEviction::countClosing(const std::vector<SlotRef>& connections) {
  const auto isClosing = [this](SlotRef ref) {
    const ClientConnection* const client = loop_.find<ClientConnection>(ref);
    return client && client->isLingering();
  };
  return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(), isClosing));
}

// Returns pointers, which are good to the end of the turn even if a connection closes meanwhile.
template <class Predicate>
std::vector<ClientConnection*> ClientEviction::select(const std::vector<SlotRef>& connections,
                                                      Predicate isWanted) {
  std::vector<ClientConnection*> selected;
  for (const SlotRef ref : connections)
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref); client && isWanted(*client))
      selected.push_back(client);
  return selected;
}

// Unread data on an idle connection is a request that the system has accepted: that connection stays. Returns
// how many were evicted.
std::size_t ClientEviction::evictIdle(const std::vector<SlotRef>& connections, std::size_t wanted) {
  auto idle = select(connections, [](const ClientConnection& client) { return client.isIdle(); });
  std::sort(idle.begin(), idle.end(), [](const ClientConnection* a, const ClientConnection* b) {
    return a->idleSince() < b->idleSince();
  });
  std::size_t evicted = 0;
  for (ClientConnection* const client : idle) {
    if (evicted >= wanted) break;
    if (!client->nothingReceived()) continue;
    client->lingeringClose(closeWithin_);
    ++evicted;
  }
  return evicted;
}

// Each incomplete request has half of its time in any case.
ClientEviction::IncompleteEvicted ClientEviction::evictIncomplete(const std::vector<SlotRef>& connections,
                                                                  std::size_t wanted) {
  auto incomplete =
      select(connections, [](const ClientConnection& client) { return client.hasIncompleteRequest(); });
  std::sort(incomplete.begin(), incomplete.end(), [](const ClientConnection* a, const ClientConnection* b) {
    return a->evictableAt() < b->evictableAt();
  });
  IncompleteEvicted evicted;
  for (ClientConnection* const client : incomplete) {
    if (evicted.count >= wanted) break;
    if (client->evictableAt() > loop_.now()) {
      evicted.nextAt = client->evictableAt();
      break;
    }
    client->timeOutRequest(closeWithin_);
    ++evicted.count;
  }
  return evicted;
}

}  // namespace merlinbridge::net
