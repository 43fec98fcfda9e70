#include "net/stream_socket.hpp"

#include <boost/asio/post.hpp>
#include <cerrno>

#include "net/connection.hpp"

namespace merlinbridge::net {
namespace {

// The completion of a wait: lets the connection's step go on if the connection still exists, and ends the
// turn.
struct StepCompletion {
  EventLoop* loop;
  SlotRef ref;
  ConnectionStep step;
  short awaitedEvents;  // 0 for a posted step

  void operator()(const Error& error) const {
    if (Connection* const connection = loop->find(ref)) {
      connection->socket().readiness().completionRan(awaitedEvents);
      connection->runStep(step, error);
    }
    loop->endTurn();
  }
};

// Errors that the peer or the network path causes; all others are failures of this machine.
bool isCausedByPeer(int error) {
  return error == ECONNRESET || error == EPIPE || error == ECONNREFUSED || error == ETIMEDOUT ||
         error == EHOSTUNREACH;
}

}  // namespace

void StreamSocket::enter(ConnectionState next) {
  if (state_ != ConnectionState::closed) state_ = next;
}

void StreamSocket::becomeOpen() {
  enter(ConnectionState::open);
  backoff_.reset();
  ensureNoDelay();
}

void StreamSocket::recordEndOfStream() {
  enter(ConnectionState::halfClosedByPeer);
}

void StreamSocket::close() {
  enter(ConnectionState::closed);
  Error ignored;
  socket_.close(ignored);
}

CallResult StreamSocket::openFor(const SocketAddress& peer) {
  Error error;
  socket_.close(error);  // after a failed dial, a socket is of no further use
  Descriptor opened;
  if (const CallResult result = openStream(peer.protocol().family(), opened); !opened) {
    recordResult(SystemCall::socket, result);
    return result;
  }
  socket_.assign(peer.protocol(), opened.get(), error);
  if (!error) {
    opened.release();
    return {};
  }
  const CallResult failed{CallStatus::shortage, 0, error.value()};
  recordResult(SystemCall::registration, failed);
  return failed;
}

void StreamSocket::disableDelay() {
  Error error;
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  delayDisabled_ = !error;
}

void StreamSocket::shutdownSend() {
  Error ignored;
  socket_.shutdown(Socket::shutdown_send, ignored);
}

void StreamSocket::waitFor(Socket::wait_type readiness, ConnectionStep step) {
  const short events = readiness == Socket::wait_read ? POLLIN : POLLOUT;
  readiness_.waitStarted(events);
  socket_.async_wait(readiness, StepCompletion{&loop_, ref_, step, events});
}

void StreamSocket::postStep(ConnectionStep step) {
  asio::post(loop_.strand, [completion = StepCompletion{&loop_, ref_, step, 0}] { completion({}); });
}

// The retry is bounded by the connection's wait timer, as every wait is.
void StreamSocket::retryLater(ConnectionStep step) {
  const Duration pause = backoff_.nextPause(loop_.retryPause());
  loop_.deadlines.add(loop_.now() + pause, [&loop = loop_, ref = ref_, step](TimePoint) {
    if (Connection* const connection = loop.find(ref)) connection->runStep(step, {});
  });
}

void StreamSocket::endMissedWait() {
  if (!readiness_.takeMissedWait()) return;
  loop_.faults.record(loop_.now(), SystemCall::wait, ETIME, "readiness was missed");
  Error ignored;
  socket_.cancel(ignored);
}

void StreamSocket::recordResult(SystemCall call, const CallResult& result) {
  if (result.status == CallStatus::done) backoff_.reset();
  if (result.status == CallStatus::shortage)
    loop_.faults.record(loop_.now(), call, result.error, "tried again");
  if (result.status != CallStatus::broken) return;
  lastError_ = result.error;
  if (!isCausedByPeer(result.error))
    loop_.faults.record(loop_.now(), call, result.error, "the connection is closed");
}

void StreamSocket::recordFailedWait(const Error& error) {
  loop_.faults.record(loop_.now(), SystemCall::wait, error.value(), "tried again");
}

}  // namespace merlinbridge::net
