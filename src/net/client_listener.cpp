#include "net/client_listener.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/yield.hpp>

#include "net/client_connection.hpp"

namespace merlinbridge::net {
namespace {

// Of the longest deadline: a client whose connection is evicted has so long to close.
constexpr int kEvictionTimeoutParts = 8;
// Of all connections: as many are evicted at once at the most.
constexpr std::size_t kEvictionParts = 8;

}  // namespace

ClientListener::ClientListener(EventLoop& loop, const SocketAddress& address, std::size_t maxConnections,
                               Duration idleTimeout, Duration maxDeadline)
    : loop_(loop),
      acceptor_(loop.strand),
      maxConnections_(maxConnections),
      idleTimeout_(idleTimeout),
      maxDeadline_(maxDeadline) {
  acceptor_.open(address.protocol());
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(static_cast<int>(maxConnections_));
  acceptor_.non_blocking(true);
}

void ClientListener::serve(core::GatewayCore& core) {
  core_ = &core;
  acceptStep({});
}

void ClientListener::acceptStep(Error error) {
  if (!acceptor_.is_open()) return;
  const auto resume = [this](const Error& e) {
    acceptStep(e);
    loop_.endTurn();
  };
  reenter(accepting_) {
    while (acceptor_.is_open()) {
      // Nobody is evicted before another client waits.
      if (full()) {
        yield acceptor_.async_wait(decltype(acceptor_)::wait_read, resume);
      }
      while (full()) {
        evictIdle();
        paused_ = true;
        yield return;
      }
      {
        Socket socket(loop_.strand);
        acceptor_.accept(socket, error);
        if (!error) {
          add(std::move(socket));
          continue;
        }
      }
      if (error == asio::error::would_block || error == asio::error::try_again) {
        evictionsWanted_ = 1;  // nobody waits any more
        yield acceptor_.async_wait(decltype(acceptor_)::wait_read, resume);
      } else if (error == asio::error::connection_aborted || error == asio::error::interrupted) {
        loop_.faults.record(loop_.now(), SystemCall::accept, error.value(), "the next one is accepted");
      } else {
        // Out of descriptors after all: it goes on when one has been given back.
        loop_.faults.record(loop_.now(), SystemCall::accept, error.value(), "accepting pauses");
        loop_.log(Level::warning, "accept_paused", "accepting pauses: ", error.message());
        paused_ = true;
        loop_.deadlines.add(loop_.now() + maxDeadline_, [this](TimePoint) { resumeAccepting(); });
        yield return;
      }
    }
  }
}

void ClientListener::add(Socket socket) {
  ClientConnection& client = loop_.open<ClientConnection>(std::move(socket), *this);
  connections_.push_back(client.ref());
  client.start();
}

void ClientListener::resumeAccepting() {
  if (std::exchange(paused_, false)) acceptStep({});
}

void ClientListener::connectionClosed(SlotRef ref) {
  std::erase(connections_, ref);
  if (paused_) resumeAcceptingLater();
}

// A client may have been waiting since all connections were busy.
void ClientListener::connectionIdle() {
  if (paused_ && full()) resumeAcceptingLater();
}

void ClientListener::resumeAcceptingLater() {
  asio::post(loop_.strand, [this] {
    resumeAccepting();
    loop_.endTurn();
  });
}

// Evicts those that have been idle longest: one, and twice as many each time that it was not enough, so that
// a crowd of idle clients does not let in one new client in a round trip while the others time out. What has
// come and is not yet read is a request that was taken: its connection stays.
void ClientListener::evictIdle() {
  std::vector<ClientConnection*> idle;
  std::size_t closing = 0;
  for (const SlotRef ref : connections_) {
    ClientConnection* const client = loop_.find<ClientConnection>(ref);
    if (client && client->lingering()) ++closing;
    if (client && client->idle()) idle.push_back(client);
  }
  if (closing >= evictionsWanted_) return;
  std::sort(idle.begin(), idle.end(), [](const ClientConnection* a, const ClientConnection* b) {
    return a->idleSince() < b->idleSince();
  });
  for (ClientConnection* const client : idle) {
    if (closing >= evictionsWanted_) break;
    if (!client->nothingReceived()) continue;
    client->lingeringClose(maxDeadline_ / kEvictionTimeoutParts);
    ++closing;
  }
  evictionsWanted_ =
      std::min(2 * evictionsWanted_, std::max<std::size_t>(1, maxConnections_ / kEvictionParts));
}

std::size_t ClientListener::bufferedBytes() {
  std::size_t bytes = 0;
  for (const SlotRef ref : connections_)
    if (const ClientConnection* const client = loop_.find<ClientConnection>(ref))
      bytes += client->bufferedBytes();
  return bytes;
}

bool ClientListener::quiet() {
  return std::all_of(connections_.begin(), connections_.end(), [this](SlotRef ref) {
    const ClientConnection* const client = loop_.find<ClientConnection>(ref);
    return !client || client->idle() || client->lingering();
  });
}

void ClientListener::drain(TimePoint lastAnswerBy) {
  ready_ = false;
  draining_ = true;
  lastAnswerBy_ = lastAnswerBy;
}

void ClientListener::closeIdle(Duration idleFor) {
  for (const SlotRef ref : std::vector(connections_))
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref);
        client && client->idle() && loop_.now() - client->idleSince() >= idleFor && client->nothingReceived())
      client->lingeringClose(maxDeadline_);
}

// Requests on connections that the system has accepted and this process has not are taken, too.
bool ClientListener::stopAccepting() {
  Error error;
  bool accepted = false;
  while (acceptor_.is_open() && connections_.size() < maxConnections_) {
    Socket socket(loop_.strand);
    acceptor_.accept(socket, error);
    if (error) break;
    add(std::move(socket));
    accepted = true;
  }
  if (!accepted) acceptor_.close(error);
  return !accepted;
}

void ClientListener::discardUnread() {
  for (const SlotRef ref : connections_)
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref)) client->discard();
}

}  // namespace merlinbridge::net

#include <boost/asio/unyield.hpp>
