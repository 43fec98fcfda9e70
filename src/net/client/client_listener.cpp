#include "net/client/client_listener.hpp"

#include <algorithm>
#include <utility>

namespace merlinbridge::net {
namespace {

// A client may take the longest deadline divided by this to close an evicted connection.
constexpr int kEvictionTimeoutDivisor = 8;
// When buffer memory is short, the limit divided by this is freed at once.
constexpr std::size_t kReclaimDivisor = 32;
// The system queues this multiple of the connection limit of clients for accepting. Clients beyond it cannot
// connect; with a queue as short as the limit, a crowd of others keeps usual clients out for seconds.
constexpr std::size_t kBacklogPerConnection = 8;
// Minimum time between two lines of buffer_memory_exhausted, and of clients_overdue.
constexpr Duration kLogInterval = std::chrono::seconds(10);
constexpr std::size_t kKilobyte = 1024;

}  // namespace

ClientListener::ClientListener(EventLoop& loop, const SocketAddress& address, std::size_t maxConnections,
                               const ClientTimeouts& timeouts)
    : loop_(loop),
      maxConnections_(maxConnections),
      timeouts_(timeouts),
      acceptor_(loop, address, static_cast<int>(kBacklogPerConnection * maxConnections), *this),
      waiting_(timeouts.maxDeadline),
      eviction_(loop, maxConnections, timeouts.maxDeadline / kEvictionTimeoutDivisor),
      refusals_(loop.log),
      ends_(loop.log) {
  loop.buffers.setReclaim([this](std::size_t bytes, SlotRef requester) { reclaimBuffers(bytes, requester); });
}

void ClientListener::serve(core::GatewayCore& core) {
  core_ = &core;
  acceptor_.start();
  phase_ = Phase::ready;
}

void ClientListener::clientAccepted(Socket socket) {
  waiting_.accepted(loop_.newestArrivalAt(socket.native_handle()));
  ClientConnectionOwner& owner = *this;
  auto& client = loop_.open<ClientConnection>(std::move(socket), owner, timeouts_);
  connections_.push_back(client.ref());
  client.start();
}

void ClientListener::connectionClosed(SlotRef ref, ConnectionEndReason reason,
                                      const ConnectionCounts& counts) {
  ends_.record(loop_.now(), reason, counts);
  std::erase(connections_, ref);
  if (acceptor_.isPaused()) acceptor_.resumeLater();
}

// A client may be waiting because all connections were busy.
void ClientListener::connectionIdle() {
  if (acceptor_.isPaused() && isFull()) acceptor_.resumeLater();
}

void ClientListener::backlogEmpty() {
  waiting_.noneWaits(loop_.now());
  eviction_.reset();
}

// Connections that are closed here free their places in this turn, so accepting resumes in a later one.
void ClientListener::evictConnections() {
  logOverdueClients();
  const EvictionResult result = eviction_.evictConnections(connections_, waiting_);
  if (result.hasFreedPlaces) acceptor_.resumeLater();
  if (!result.nextAt) return;
  loop_.deadlines.cancel(evictionRetry_);  // one timer, however often clients wait
  evictionRetry_ = loop_.deadlines.add(*result.nextAt, [this](TimePoint) { acceptor_.resume(); });
}

// The clients that have kept the gateway waiting longest give way first: a client that sends its request
// without a pause is never among them while others have stopped. Frees some more, so that a flood does not
// search for each read.
void ClientListener::reclaimBuffers(std::size_t bytes, SlotRef requester) {
  std::vector<ClientConnection*> waiting;
  for (const SlotRef ref : connections_)
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref);
        client && client->holdsReclaimableBuffer())
      waiting.push_back(client);
  std::sort(waiting.begin(), waiting.end(), [](const ClientConnection* a, const ClientConnection* b) {
    return a->waitingSince() < b->waitingSince();
  });
  logExhaustion(waiting.size());
  const std::size_t wanted = std::max(bytes, loop_.buffers.limitBytes() / kReclaimDivisor);
  std::size_t reclaimed = 0;
  for (ClientConnection* const client : waiting) {
    if (reclaimed >= wanted || client->ref() == requester) return;
    reclaimed += client->reclaimBuffer();
  }
}

void ClientListener::logExhaustion(std::size_t waitingClients) {
  const TimePoint now = loop_.now();
  if (exhaustionLoggedAt_ != TimePoint{} && now - exhaustionLoggedAt_ < kLogInterval) return;
  exhaustionLoggedAt_ = now;
  loop_.log(LogEvent::bufferMemoryExhausted, LogField{"used_kb", loop_.buffers.usedBytes() / kKilobyte},
            LogField{"limit_kb", loop_.buffers.limitBytes() / kKilobyte},
            LogField{"waiting_clients", waitingClients});
}

void ClientListener::logOverdueClients() {
  const TimePoint now = loop_.now();
  if (now < waiting_.overdueAt()) return;
  if (overdueLoggedAt_ != TimePoint{} && now - overdueLoggedAt_ < kLogInterval) return;
  overdueLoggedAt_ = now;
  std::size_t incomplete = 0;
  std::size_t lingering = 0;
  for (const SlotRef ref : connections_) {
    const ClientConnection* const client = loop_.find<ClientConnection>(ref);
    if (client && client->hasIncompleteRequest()) ++incomplete;
    if (client && client->isLingering()) ++lingering;
  }
  loop_.log(LogEvent::clientsOverdue, LogField{"connections", connections_.size()},
            LogField{"incomplete", incomplete}, LogField{"lingering", lingering});
}

bool ClientListener::allIdle() {
  return std::all_of(connections_.begin(), connections_.end(), [this](SlotRef ref) {
    const ClientConnection* const client = loop_.find<ClientConnection>(ref);
    return !client || client->isIdle() || client->isLingering();
  });
}

void ClientListener::drain(TimePoint keepAliveEndsAt) {
  phase_ = Phase::draining;
  keepAliveEndsAt_ = keepAliveEndsAt;
}

// Iterates over a copy, because a connection that closes is removed from the list.
void ClientListener::closeIdle(Duration idleFor) {
  for (const SlotRef ref : std::vector(connections_))
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref);
        client && client->isIdle() && loop_.now() - client->idleSince() >= idleFor &&
        client->hasNothingToRead())
      client->lingeringClose(timeouts_.maxDeadline, ConnectionEndReason::shutdown);
}

void ClientListener::refuseIncompleteRequests() {
  for (const SlotRef ref : std::vector(connections_))
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref)) client->refuseIncompleteRequest();
}

void ClientListener::discardUnread() {
  for (const SlotRef ref : connections_)
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref)) client->discard();
}

}  // namespace merlinbridge::net
