#include "net/discovery/discovery_connection.hpp"

namespace merlinbridge::net {

DiscoveryConnection::DiscoveryConnection(EventLoop& loop, DiscoveryResponseHandler& handler,
                                         Duration connectTimeout, std::string_view message)
    : Connection(loop), handler_(handler), progress_(kHeartbeatInterval + connectTimeout, loop.now()) {
  send({message});
}

void DiscoveryConnection::onTimeout() {
  if (!isUp() || progress_.hasStopped(loop_.now())) return onClosed();
  progress_.markSlow();
  handler_.responseIsSlow(ref());
  if (isUp()) updateWaitTimer();
}

}  // namespace merlinbridge::net
