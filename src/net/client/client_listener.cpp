#include "net/client/client_listener.hpp"

#include <poll.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/yield.hpp>
#include <cerrno>

#include "net/client/client_connection.hpp"

namespace merlinbridge::net {
namespace {

// Of the longest deadline: a client whose connection is evicted has so long to close.
constexpr int kEvictionTimeoutParts = 8;
// Of all connections: as many are evicted at once at the most.
constexpr std::size_t kEvictionParts = 8;
// Connections that broke while they were accepted: after so many in a row, other handlers have their turn.
constexpr int kMaxBrokenInRow = 16;
// The pause after a failed accept doubles with each in a row, so often: the backlog waits meanwhile.
constexpr int kMaxPauseDoublings = 4;

}  // namespace

ClientListener::ClientListener(EventLoop& loop, const SocketAddress& address, std::size_t maxConnections,
                               Duration idleTimeout, Duration maxDeadline)
    : loop_(loop),
      address_(address),
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
  reenter(accepting_) {
    while (acceptor_.is_open()) {
      // Nobody is evicted before another client waits.
      if (full()) {
        yield waitForClients();
      }
      while (full()) {
        evict();
        paused_ = true;
        yield return;
      }
      acceptStatus_ = acceptOne();
      if (acceptStatus_ == CallStatus::done) continue;
      if (acceptStatus_ == CallStatus::broken && ++brokenInRow_ < kMaxBrokenInRow) continue;
      brokenInRow_ = 0;
      if (acceptStatus_ == CallStatus::wouldBlock) {
        evictionsWanted_ = 1;  // nobody waits any more
        yield waitForClients();
        if (!error || error == asio::error::operation_aborted) continue;
        loop_.faults.record(loop_.now(), SystemCall::wait, error.value(), "accepting pauses");
      }
      pauseAccepting();
      yield return;
    }
  }
}

void ClientListener::waitForClients() {
  waiting_ = true;
  acceptor_.async_wait(decltype(acceptor_)::wait_read, [this](const Error& error) {
    waiting_ = readyUnnoticed_ = false;
    acceptStep(error);
    loop_.endTurn();
  });
}

void ClientListener::recoverMissedReadiness() {
  if (!waiting_ || !acceptor_.is_open()) return;
  pollfd state{acceptor_.native_handle(), POLLIN, 0};
  if (::poll(&state, 1, 0) <= 0) return;
  readyUnnoticed_ = true;
  loop_.io.poll();  // what the system has passed on comes first
  if (!std::exchange(readyUnnoticed_, false)) return;
  loop_.faults.record(loop_.now(), SystemCall::wait, ETIME, "readiness was missed");
  Error ignored;
  acceptor_.cancel(ignored);
}

// One connection of the backlog. The last one accepted comes first, where it could not be registered.
CallStatus ClientListener::acceptOne() {
  if (!accepted_) {
    const CallResult result = acceptConnection(acceptor_.native_handle(), accepted_);
    if (result.status == CallStatus::shortage)
      loop_.faults.record(loop_.now(), SystemCall::accept, result.error, "accepting pauses");
    if (result.status == CallStatus::broken)
      loop_.faults.record(loop_.now(), SystemCall::accept, result.error, "the next one is accepted");
    if (result.status != CallStatus::done) return result.status;
  }
  Socket socket(loop_.strand);
  Error error;
  socket.assign(address_.protocol(), accepted_.get(), error);
  if (error) {
    loop_.faults.record(loop_.now(), SystemCall::registration, error.value(), "accepting pauses");
    return CallStatus::shortage;
  }
  accepted_.release();
  brokenInRow_ = pausesInRow_ = 0;
  add(std::move(socket));
  return CallStatus::done;
}

// The system has accepted those that wait, and their requests may be written: the pause is short.
void ClientListener::pauseAccepting() {
  paused_ = true;
  const Duration pause = loop_.retryPause() * (1 << std::min(pausesInRow_++, kMaxPauseDoublings));
  loop_.deadlines.add(loop_.now() + pause, [this](TimePoint) { resumeAccepting(); });
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

// Makes room for clients that wait: one place, and twice as many each time that it was not enough, so that a
// crowd does not let in one new client in a round trip while the others time out.
void ClientListener::evict() {
  std::size_t made = closing();
  if (made >= evictionsWanted_) return;
  made += evictIdle(evictionsWanted_ - made);
  if (made < evictionsWanted_) made += evictIncomplete(evictionsWanted_ - made);
  evictionsWanted_ =
      std::min(2 * evictionsWanted_, std::max<std::size_t>(1, maxConnections_ / kEvictionParts));
}

std::size_t ClientListener::closing() {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(), [this](SlotRef ref) {
        const ClientConnection* const client = loop_.find<ClientConnection>(ref);
        return client && client->lingering();
      }));
}

// Those that have been idle longest. What has come and is not yet read is a request that was taken: its
// connection stays. Returns how many.
std::size_t ClientListener::evictIdle(std::size_t wanted) {
  std::vector<ClientConnection*> idle;
  for (const SlotRef ref : connections_)
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref); client && client->idle())
      idle.push_back(client);
  std::sort(idle.begin(), idle.end(), [](const ClientConnection* a, const ClientConnection* b) {
    return a->idleSince() < b->idleSince();
  });
  std::size_t evicted = 0;
  for (ClientConnection* const client : idle) {
    if (evicted >= wanted) break;
    if (!client->nothingReceived()) continue;
    client->lingeringClose(maxDeadline_ / kEvictionTimeoutParts);
    ++evicted;
  }
  return evicted;
}

// Requests that have been coming for longest, and for half of their time at least; the next one that will
// have been is looked at then. Returns how many.
std::size_t ClientListener::evictIncomplete(std::size_t wanted) {
  std::vector<ClientConnection*> incomplete;
  for (const SlotRef ref : connections_)
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref);
        client && client->receivesRequest())
      incomplete.push_back(client);
  std::sort(incomplete.begin(), incomplete.end(), [](const ClientConnection* a, const ClientConnection* b) {
    return a->mayBeGivenUpAt() < b->mayBeGivenUpAt();
  });
  std::size_t evicted = 0;
  for (ClientConnection* const client : incomplete) {
    if (evicted >= wanted) break;
    if (client->mayBeGivenUpAt() > loop_.now()) {
      loop_.deadlines.add(client->mayBeGivenUpAt(), [this](TimePoint) { resumeAccepting(); });
      break;
    }
    client->giveUpRequest(maxDeadline_ / kEvictionTimeoutParts);
    ++evicted;
  }
  return evicted;
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
  bool accepted = false;
  CallStatus status = CallStatus::wouldBlock;
  for (int broken = 0; acceptor_.is_open() && !full() && broken < kMaxBrokenInRow;) {
    status = acceptOne();
    if (status == CallStatus::done)
      accepted = true;
    else if (status == CallStatus::broken)
      ++broken;
    else
      break;
  }
  if (accepted || status != CallStatus::wouldBlock) return false;
  Error ignored;
  acceptor_.close(ignored);
  return true;
}

void ClientListener::discardUnread() {
  for (const SlotRef ref : connections_)
    if (ClientConnection* const client = loop_.find<ClientConnection>(ref)) client->discard();
}

}  // namespace merlinbridge::net

#include <boost/asio/unyield.hpp>
