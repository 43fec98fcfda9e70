#include "net/upstream/upstream_pool.hpp"

#include <stdexcept>
#include <utility>

namespace merlinbridge::net {
namespace {

// A connection must have been idle for the connect timeout divided by this before it carries the next
// attempt.
constexpr int kReuseDelayDivisor = 25;
// The gateway closes an idle connection after the hosts' idle timeout divided by this: well before the host
// does, so that no request is written to a connection that the host is closing.
constexpr int kIdleTimeoutDivisor = 2;

}  // namespace

UpstreamPool::UpstreamPool(EventLoop& loop, std::size_t maxConnections, Duration hostIdleTimeout,
                           Duration connectTimeout)
    : loop_(loop),
      maxConnections_(maxConnections),
      timeouts_{connectTimeout, hostIdleTimeout / kIdleTimeoutDivisor},
      reuseDelay_(connectTimeout / kReuseDelayDivisor) {}

std::variant<SlotRef, Outcome> UpstreamPool::startAttempt(HostId host, std::string_view message,
                                                          RequestId requestId, AttemptNumber attemptNumber,
                                                          AttemptDeadline deadline) {
  UpstreamConnection* const connection = connectionTo(host);
  if (!connection) return Outcome::notSent;
  const SlotRef ref = connection->ref();
  if (const auto outcome = connection->start(message, requestId, attemptNumber, deadline)) return *outcome;
  return ref;
}

UpstreamConnection* UpstreamPool::connectionTo(HostId host) {
  if (UpstreamConnection* const idle = takeIdle(host)) return idle;
  if (connections_.size() >= maxConnections_ && !evictIdle()) return nullptr;
  return open(host);
}

// Skips connections that became idle within the reuse delay: a duplicate response that arrives a few
// milliseconds after the first would be taken for the response to the next attempt. An attempt in that time
// gets another connection. Closes connections on which unsolicited bytes or the end of the stream have
// arrived but are yet to be handled in this turn.
UpstreamConnection* UpstreamPool::takeIdle(HostId host) {
  std::vector<SlotRef>& idle = idleConnectionsTo(host);
  for (std::size_t index = idle.size(); index-- > 0;) {
    const SlotRef ref = idle[index];
    auto* const connection = loop_.find<UpstreamConnection>(ref);
    if (connection && loop_.now() - connection->idleSince() < reuseDelay_) continue;
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(index));
    if (connection && connection->hasNothingToRead()) return connection;
    if (connection) closeConnection(ref);
  }
  return nullptr;
}

// Logs an event and returns nullptr if the host's address in the endpoint list cannot be parsed.
UpstreamConnection* UpstreamPool::open(HostId host) {
  try {
    const SocketAddress address = parseAddress(core_->addressOf(host));
    UpstreamConnectionOwner& owner = *this;
    UpstreamConnection& connection =
        loop_.open<UpstreamConnection>(owner, host, incarnationOf(host), timeouts_);
    connections_.push_back(connection.ref());
    connection.connect(address);
    return &connection;
  } catch (const std::invalid_argument& e) {
    loop_.log(LogEvent::endpointAddressInvalid, LogField{"host", core_->nameOf(host)},
              LogField{"error", std::string_view(e.what())});
    return nullptr;
  }
}

// Closes the connection that has been idle longest. Returns false if none is idle.
bool UpstreamPool::evictIdle() {
  UpstreamConnection* oldest = nullptr;
  for (const SlotRef ref : connections_) {
    auto* const connection = loop_.find<UpstreamConnection>(ref);
    if (connection && connection->idle() && (!oldest || connection->idleSince() < oldest->idleSince()))
      oldest = connection;
  }
  if (oldest) closeConnection(oldest->ref());
  return oldest != nullptr;
}

std::vector<SlotRef>& UpstreamPool::idleConnectionsTo(HostId host) {
  if (idleConnections_.size() <= host.value) idleConnections_.resize(host.value + 1);
  return idleConnections_[host.value];
}

void UpstreamPool::closeConnection(SlotRef connection) {
  std::erase(connections_, connection);
  if (const auto* const found = loop_.find<UpstreamConnection>(connection); found && found->idle())
    std::erase(idleConnectionsTo(found->host()), connection);
  loop_.closeDeferred(connection);
}

void UpstreamPool::connectionIdle(HostId host, SlotRef connection) {
  const auto* const found = loop_.find<UpstreamConnection>(connection);
  if (found && found->incarnation() != incarnationOf(host)) return closeConnection(connection);
  idleConnectionsTo(host).push_back(connection);
}

void UpstreamPool::idleConnectionBroke(HostId host) {
  core_->hostConnectionBroke(loop_.now(), host);
}

Incarnation& UpstreamPool::incarnationOf(HostId host) {
  if (incarnations_.size() <= host.value) incarnations_.resize(host.value + 1);
  return incarnations_[host.value];
}

void UpstreamPool::retire(HostId host) {
  ++incarnationOf(host).number;
  closeIdle(host);
}

void UpstreamPool::closeAttempt(SlotRef connection) {
  closeConnection(connection);
}

bool UpstreamPool::isUnsent(SlotRef connection) {
  const auto* const found = loop_.find<UpstreamConnection>(connection);
  return found && found->isUnsent();
}

void UpstreamPool::closeIdle(HostId host) {
  for (const SlotRef ref : std::exchange(idleConnectionsTo(host), {})) closeConnection(ref);
}

void UpstreamPool::attemptEnded(TimePoint now, RequestId requestId, AttemptNumber attemptNumber,
                                Outcome outcome, const core::UpstreamResponse& response) {
  core_->attemptEnded(now, requestId, attemptNumber, outcome, response);
}

bool UpstreamPool::clientAwaitsAnswer(RequestId requestId) {
  return core_->clientAwaitsAnswer(requestId);
}

std::string_view UpstreamPool::hostName(HostId host) const {
  return core_->nameOf(host);
}

}  // namespace merlinbridge::net
