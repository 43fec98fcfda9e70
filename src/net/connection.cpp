#include "net/connection.hpp"

#include <utility>

namespace merlinbridge::net {
namespace {

// A check for unread bytes that fails for a shortage is repeated up to this many calls, since it cannot wait.
constexpr int kMaxPeeks = 4;

}  // namespace

Connection::Connection(EventLoop& loop) : Connection(loop, Socket(loop.strand)) {}

Connection::Connection(EventLoop& loop, Socket accepted)
    : loop_(loop),
      buffer_(loop.buffers),
      socket_(loop, std::move(accepted)),
      dialer_(socket_),
      writer_(socket_, buffer_, *this),
      reader_(socket_, buffer_, writer_, *this),
      waitTimer_(loop.deadlines) {}

void Connection::connect(const SocketAddress& peer) {
  updateWaitTimer();
  dialer_.begin(peer);
}

void Connection::start() {
  socket_.becomeOpen();
  updateWaitTimer();
  reader_.step({});
}

void Connection::close() {
  waitTimer_.cancel();
  socket_.close();
}

void Connection::runStep(ConnectionStep step, const Error& error) {
  switch (step) {
    case ConnectionStep::dial:
      return continueDial(error);
    case ConnectionStep::read:
      return reader_.step(error);
    case ConnectionStep::write:
      return handle(writer_.step(error));
  }
}

void Connection::continueDial(const Error& error) {
  const DialProgress progress = dialer_.step(error);
  if (progress == DialProgress::failed) return onClosed();
  if (progress == DialProgress::pending) return;
  socket_.becomeOpen();
  onConnected();
  if (isUp() && !allWritten()) flush();
  reader_.step({});
}

CallStatus Connection::peekStatus() const {
  CallStatus status = CallStatus::shortage;
  for (int tries = 0; tries < kMaxPeeks && status == CallStatus::shortage; ++tries)
    status = peek(socket_.descriptor()).status;
  return status;
}

bool Connection::hasUnreadBytes() const {
  if (!isUp()) return false;
  const CallStatus status = peekStatus();
  return status == CallStatus::done || status == CallStatus::shortage;
}

bool Connection::hasNothingToRead() const {
  return isUp() && peekStatus() == CallStatus::wouldBlock;
}

bool Connection::peerHungUp() const {
  return isUp() && net::peerHungUp(socket_.descriptor());
}

void Connection::discard() {
  reader_.discard();
}

void Connection::send(std::initializer_list<std::string_view> parts) {
  switch (writer_.send(parts)) {
    case WriteEvent::failed:
      return onClosed();
    case WriteEvent::none:
      flush();
      break;
    case WriteEvent::allWritten:
      onAllWritten();
      break;
  }
  resumeReading();
}

void Connection::sendLater(std::string_view part) {
  writer_.sendLater(part);
}

void Connection::flush() {
  handle(writer_.flush());
}

void Connection::handle(WriteEvent event) {
  switch (event) {
    case WriteEvent::none:
      return;
    case WriteEvent::failed:
      return onClosed();
    case WriteEvent::allWritten:
      onAllWritten();
      return resumeReading();
  }
}

void Connection::updateWaitTimer() {
  const TimePoint deadline = waitDeadline();
  if (waitTimer_.firesBy(deadline)) return;
  waitTimer_.set(deadline, [&loop = loop_, ref = ref()](TimePoint now) {
    if (Connection* const connection = loop.find(ref)) connection->waitTimerFired(now);
  });
}

void Connection::waitTimerFired(TimePoint now) {
  waitTimer_.fired();
  if (waitDeadline() <= now) return onTimeout();
  updateWaitTimer();
}

}  // namespace merlinbridge::net
