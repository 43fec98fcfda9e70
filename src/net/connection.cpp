#include "net/connection.hpp"

#include <poll.h>

#include <array>
#include <boost/asio/write.hpp>
#include <boost/asio/yield.hpp>

namespace merlinbridge::net {
namespace {

// The least room that a read is given.
constexpr std::size_t kMinReadSize = 2048;
// Reads for nobody at one end: a peer that sends and sends has no claim to more.
constexpr int kMaxDiscardReads = 64;

bool mustWait(const Error& error) {
  return error == asio::error::would_block || error == asio::error::try_again ||
         error == asio::error::interrupted;
}

// Ends that a peer or the way to it brings about; all else is a failure of this machine.
bool isPeersDoing(const Error& error) {
  return error == asio::error::eof || error == asio::error::connection_reset ||
         error == asio::error::broken_pipe || error == asio::error::connection_refused ||
         error == asio::error::timed_out || error == asio::error::host_unreachable ||
         error == asio::error::operation_aborted;
}

}  // namespace

void Connection::Resume::operator()(const Error& error) const {
  if (Connection* const connection = loop->find(ref)) (connection->*step)(error);
  loop->endTurn();
}

void Connection::connect(const SocketAddress& peer) {
  peer_ = peer;
  updateWaitTimer();
  readStep({});
}

void Connection::start() {
  Error error;
  socket_.non_blocking(true, error);
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  up_ = true;
  updateWaitTimer();
  readStep({});
}

void Connection::close() {
  Error error;
  up_ = false;
  if (waitTimer_.second) loop_.deadlines.drop(waitTimer_);
  socket_.close(error);
}

bool Connection::hasUnread() const {
  Error error;
  return up_ && socket_.available(error) > 0 && !error;
}

bool Connection::nothingReceived() const {
  Error error;
  char byte = 0;
  socket_.receive(asio::buffer(&byte, 1), Socket::message_peek, error);
  return up_ && mustWait(error);
}

void Connection::shutdownSend() {
  Error error;
  socket_.shutdown(Socket::shutdown_send, error);
}

// Guards against a close over unread bytes, which resets the connection and takes with it what the peer has
// not read yet.
void Connection::discard() {
  Error error;
  std::array<char, 4096> bytes{};
  for (int n = 0; n < kMaxDiscardReads && up_ && !error; ++n) socket_.read_some(asio::buffer(bytes), error);
}

bool Connection::peerHungUp() const {
  pollfd at{socket_.native_handle(), POLLRDHUP, 0};
  return up_ && ::poll(&at, 1, 0) > 0 && (at.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Connection::readStep(Error error) {
  const Resume resume{&loop_, ref_, &Connection::readStep};
  reenter(reader_) {
    if (!up_) {
      yield socket_.async_connect(peer_, resume);
      if (error) {
        recordFault(SystemCall::connect, error);
        return onClosed();
      }
      socket_.non_blocking(true, error);
      socket_.set_option(asio::ip::tcp::no_delay(true), error);
      up_ = true;
      onConnected();
      if (up_ && unsent_ > 0) flush();
    }
    while (up_) {
      if (unsent_ > 0 || mustPause()) {
        readPaused_ = true;
        yield return;
      }
      yield socket_.async_wait(Socket::wait_read, resume);
      if (!up_) return;
      if (error) {
        recordFault(SystemCall::wait, error);
        return onClosed();
      }
      if (unsent_ > 0) continue;
      {
        const std::size_t before = buffer_.size();
        do {
          char* const into = buffer_.room(buffer_.size() == before ? kMinReadSize : 1);
          const std::size_t n = socket_.read_some(asio::buffer(into, buffer_.spare()), error);
          if (mustWait(error)) break;
          peerEnded_ = error == asio::error::eof;
          if (error) {
            recordFault(SystemCall::receive, error);
            return onClosed();
          }
          buffer_.filled(n);
        } while (buffer_.size() < readAheadLimit());
        if (buffer_.size() == before) continue;
      }
      onData();
    }
  }
}

void Connection::writeStep(Error error) {
  reenter(writer_) {
    do {
      yield socket_.async_wait(Socket::wait_write, Resume{&loop_, ref_, &Connection::writeStep});
      if (!up_) return;
      if (error) recordFault(SystemCall::wait, error);
      if (error || !pushOut()) return onClosed();
    } while (unsent_ > 0);
  }
  if (!writer_.is_complete() || !up_ || !std::exchange(writing_, false)) return;
  onAllWritten();
  resumeReading();
}

// Writes what the socket takes now. False: it has broken.
bool Connection::pushOut() {
  if (!mayWrite()) return false;
  Error error;
  const std::size_t n =
      socket_.write_some(asio::buffer(buffer_.data() + buffer_.size() - unsent_, unsent_), error);
  if (error && !mustWait(error)) {
    recordFault(SystemCall::send, error);
    return false;
  }
  const std::size_t kept = buffer_.size() - unsent_;
  buffer_.cut(kept, kept + n);
  unsent_ -= n;
  if (buffer_.empty()) buffer_.drop(0);
  return true;
}

void Connection::flush() {
  later_ = false;
  if (!up_ || unsent_ == 0 || writing_) return;
  if (!pushOut()) return onClosed();
  if (unsent_ == 0) {
    onAllWritten();
    return resumeReading();
  }
  writing_ = true;
  writer_ = {};
  writeStep({});
}

void Connection::resumeReading() {
  if (up_ && unsent_ == 0 && !mustPause() && std::exchange(readPaused_, false)) readStep({});
}

void Connection::send(std::initializer_list<std::string_view> parts) {
  std::size_t done = 0;
  if (up_ && unsent_ == 0) {
    std::array<asio::const_buffer, 4> splitter;
    std::size_t n = 0;
    for (const std::string_view part : parts) splitter[n++] = asio::buffer(part);
    Error error;
    done = socket_.write_some(splitter, error);
    if (error && !mustWait(error)) {
      recordFault(SystemCall::send, error);
      return onClosed();
    }
  }
  for (std::string_view part : parts) {
    const std::size_t gone = std::min(done, part.size());
    done -= gone;
    part.remove_prefix(gone);
    buffer_.add(part);
    unsent_ += part.size();
  }
  if (unsent_ > 0)
    flush();
  else
    onAllWritten();
  resumeReading();
}

void Connection::sendLater(std::string_view part) {
  buffer_.add(part);
  unsent_ += part.size();
  if (!std::exchange(later_, true)) loop_.flushLater(ref_);
}

void Connection::updateWaitTimer() {
  const TimePoint at = waitDeadline();
  if (at >= waitTimerAt_) return;
  if (waitTimer_.second) loop_.deadlines.drop(waitTimer_);
  waitTimerAt_ = at;
  waitTimer_ = loop_.deadlines.add(at, [&loop = loop_, ref = ref_.packed()](TimePoint now) {
    if (Connection* const c = loop.find(SlotRef::unpacked(ref))) c->checkWait(now);
  });
}

void Connection::recordFault(SystemCall call, const Error& error) {
  lastError_ = error;
  if (!isPeersDoing(error)) loop_.faults.record(loop_.now(), call, error.value(), "the connection is closed");
}

void Connection::checkWait(TimePoint now) {
  waitTimerAt_ = TimePoint::max(), waitTimer_ = {};
  if (waitDeadline() <= now) return onTimeout();
  updateWaitTimer();
}

}  // namespace merlinbridge::net

#include <boost/asio/unyield.hpp>
