#include "net/client/client_acceptor.hpp"

#include <poll.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/yield.hpp>
#include <cerrno>
#include <utility>

namespace merlinbridge::net {
namespace {

// After this many consecutive connections that broke while being accepted, accepting pauses so that other
// handlers can run.
constexpr int kMaxConsecutiveBroken = 16;
// After this many connections other handlers run, so that a crowd of new clients does not delay the others.
constexpr int kMaxAcceptedPerTurn = 16;
// The pause after a failed accept doubles with each consecutive failure, up to this many times.
constexpr int kMaxBackoffDoublings = 4;

constexpr std::string_view kAcceptingPaused = "accepting paused";
constexpr std::string_view kAcceptingNext = "accepting the next connection";
constexpr std::string_view kResumingAfterMissedReadiness = "resuming after missed readiness";

}  // namespace

ClientAcceptor::ClientAcceptor(EventLoop& loop, const SocketAddress& address, int backlog,
                               ClientAcceptorOwner& owner)
    : loop_(loop), owner_(owner), protocol_(address.protocol()), acceptor_(loop.strand) {
  acceptor_.open(protocol_);
  acceptor_.set_option(asio::socket_base::reuse_address(true));
  acceptor_.bind(address);
  acceptor_.listen(backlog);
  acceptor_.non_blocking(true);
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): Asio's coroutine macros are counted
void ClientAcceptor::acceptStep(Error error) {
  if (!acceptor_.is_open()) return;
  reenter(accepting_) {
    while (acceptor_.is_open()) {
      // Evict no connection until another client is actually waiting.
      if (owner_.isFull()) {
        backlogWasEmpty_ = isBacklogEmpty();
        yield waitForClients();
        if (backlogWasEmpty_) owner_.backlogEmpty();
      }
      while (owner_.isFull()) {
        owner_.evictConnections();
        state_ = State::paused;
        yield return;
      }
      lastAccept_ = acceptOne();
      if (lastAccept_ == CallStatus::done) {
        if (++acceptedInTurn_ < kMaxAcceptedPerTurn) continue;
        acceptedInTurn_ = 0;
        yield continueLater();
        continue;
      }
      acceptedInTurn_ = 0;
      if (lastAccept_ == CallStatus::broken && ++consecutiveBroken_ < kMaxConsecutiveBroken) continue;
      consecutiveBroken_ = 0;
      if (lastAccept_ == CallStatus::wouldBlock) {
        owner_.backlogEmpty();
        yield waitForClients();
        if (!error || error == asio::error::operation_aborted) continue;
        loop_.faults.record(loop_.now(), SystemCall::wait, error.value(), kAcceptingPaused);
      }
      backOff();
      yield return;
    }
  }
}

void ClientAcceptor::continueLater() {
  asio::post(loop_.strand, [this] {
    acceptStep({});
    loop_.endTurn();
  });
}

void ClientAcceptor::waitForClients() {
  state_ = State::waiting;
  readiness_.waitStarted(POLLIN);
  acceptor_.async_wait(decltype(acceptor_)::wait_read, [this](const Error& error) {
    state_ = State::accepting;
    readiness_.completionRan(POLLIN);
    acceptStep(error);
    loop_.endTurn();
  });
}

bool ClientAcceptor::isBacklogEmpty() {
  pollfd listener{acceptor_.native_handle(), POLLIN, 0};
  return ::poll(&listener, 1, 0) <= 0;
}

// Pending completion handlers run first. If the wait is still open afterwards, its readiness was not
// reported, and cancelling the wait lets acceptStep() continue.
void ClientAcceptor::recoverMissedReadiness() {
  if (state_ != State::waiting || !acceptor_.is_open() || isBacklogEmpty()) return;
  readiness_.markReady();
  if (!readiness_.takeMissedWait(loop_.handlePendingEvents())) return;
  loop_.faults.record(loop_.now(), SystemCall::wait, ETIME, kResumingAfterMissedReadiness);
  Error ignored;
  acceptor_.cancel(ignored);
}

// Accepts one connection, or first retries to register one that was accepted but could not be registered.
CallStatus ClientAcceptor::acceptOne() {
  if (accepted_) return registerAccepted();
  const CallResult result = acceptConnection(acceptor_.native_handle(), accepted_);
  recordFailure(result);
  return result.status == CallStatus::done ? registerAccepted() : result.status;
}

CallStatus ClientAcceptor::registerAccepted() {
  Socket socket(loop_.strand);
  Error error;
  socket.assign(protocol_, accepted_.get(), error);
  if (error) {
    loop_.faults.record(loop_.now(), SystemCall::registration, error.value(), kAcceptingPaused);
    return CallStatus::shortage;
  }
  accepted_.release();
  consecutiveBroken_ = 0;
  consecutiveBackoffs_ = 0;
  owner_.clientAccepted(std::move(socket));
  return CallStatus::done;
}

void ClientAcceptor::recordFailure(const CallResult& result) {
  if (result.status == CallStatus::shortage)
    loop_.faults.record(loop_.now(), SystemCall::accept, result.error, kAcceptingPaused);
  if (result.status == CallStatus::broken)
    loop_.faults.record(loop_.now(), SystemCall::accept, result.error, kAcceptingNext);
}

// The first pause is short: the clients in the backlog are already connected and may have sent requests.
void ClientAcceptor::backOff() {
  state_ = State::paused;
  const Duration pause = loop_.retryPause() * (1 << std::min(consecutiveBackoffs_++, kMaxBackoffDoublings));
  loop_.deadlines.add(loop_.now() + pause, [this](TimePoint) { resume(); });
}

void ClientAcceptor::resume() {
  if (state_ != State::paused) return;
  state_ = State::accepting;
  acceptStep({});
}

void ClientAcceptor::resumeLater() {
  asio::post(loop_.strand, [this] {
    resume();
    loop_.endTurn();
  });
}

bool ClientAcceptor::stop() {
  bool accepted = false;
  CallStatus status = CallStatus::wouldBlock;
  for (int broken = 0; acceptor_.is_open() && !owner_.isFull() && broken < kMaxConsecutiveBroken;) {
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

}  // namespace merlinbridge::net

#include <boost/asio/unyield.hpp>
