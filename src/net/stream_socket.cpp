#include "net/stream_socket.hpp"

#include <boost/asio/post.hpp>
#include <cerrno>

#include "net/connection.hpp"

namespace merlinbridge::net {
namespace {

// Completion handler of a wait: runs the connection's step if the connection still exists, then ends the
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
  socket_.close(error);  // a socket cannot be reused after a failed dial
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

// Needs no limit on retries: the connection's wait timer bounds this wait like any other.
void StreamSocket::retryLater(ConnectionStep step) {
  const Duration pause = backoff_.nextPause(loop_.retryPause());
  loop_.deadlines.add(loop_.now() + pause, [&loop = loop_, ref = ref_, step](TimePoint) {
    if (Connection* const connection = loop.find(ref)) connection->runStep(step, {});
  });
}

void StreamSocket::endMissedWait(bool allHandled) {
  if (!readiness_.takeMissedWait(allHandled)) return;
  loop_.faults.record(loop_.now(), SystemCall::wait, ETIME, "resuming after missed readiness");
  Error ignored;
  socket_.cancel(ignored);
}

void StreamSocket::recordResult(SystemCall call, const CallResult& result) {
  if (result.status == CallStatus::done) backoff_.reset();
  if (result.status == CallStatus::shortage) loop_.faults.record(loop_.now(), call, result.error, "retrying");
  if (result.status != CallStatus::broken) return;
  lastError_ = result.error;
  if (!isCausedByPeer(result.error))
    loop_.faults.record(loop_.now(), call, result.error, "closing the connection");
}

void StreamSocket::recordFailedWait(const Error& error) {
  loop_.faults.record(loop_.now(), SystemCall::wait, error.value(), "retrying");
}

}  // namespace merlinbridge::net
