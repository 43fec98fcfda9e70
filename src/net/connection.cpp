#include "net/connection.hpp"

#include <poll.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/yield.hpp>
#include <cerrno>

namespace merlinbridge::net {
namespace {

// The least room that a read is given.
constexpr std::size_t kMinReadSize = 2048;
// Reads for nobody at one end: a peer that sends and sends has no claim to more.
constexpr int kMaxDiscardReads = 64;
// Reads of one message in one turn: others have theirs, too.
constexpr int kMaxReadsInTurn = 256;

// The pause after a shortage doubles with each in a row, so often.
constexpr int kMaxPauseDoublings = 4;

// Ends that a peer or the way to it brings about; all else is a failure of this machine.
bool isPeersDoing(int error) {
  return error == ECONNRESET || error == EPIPE || error == ECONNREFUSED || error == ETIMEDOUT ||
         error == EHOSTUNREACH;
}

// A wait that was cancelled has been found to have missed its readiness.
bool waitFailed(const Error& error) {
  return error && error != asio::error::operation_aborted;
}

}  // namespace

void Connection::Resume::operator()(const Error& error) const {
  if (Connection* const connection = loop->find(ref)) {
    connection->awaited_ &= static_cast<short>(~awaited);
    connection->readyUnnoticed_ = false;
    (connection->*step)(error);
  }
  loop->endTurn();
}

void Connection::connect(const SocketAddress& peer) {
  peer_ = peer;
  updateWaitTimer();
  connectStep({});
}

void Connection::start() {
  becomeUp();
  updateWaitTimer();
  readStep({});
}

void Connection::close() {
  Error error;
  up_ = false;
  if (waitTimer_) loop_.deadlines.cancel(waitTimer_);
  socket_.close(error);
}

// What could not be looked at may be there.
bool Connection::hasUnread() const {
  if (!up_) return false;
  const CallStatus status = peek(descriptor()).status;
  return status == CallStatus::done || status == CallStatus::shortage;
}

bool Connection::nothingReceived() const {
  return up_ && peek(descriptor()).status == CallStatus::wouldBlock;
}

void Connection::shutdownSend() {
  Error error;
  socket_.shutdown(Socket::shutdown_send, error);
}

// Guards against a close over unread bytes, which resets the connection and takes with it what the peer has
// not read yet.
void Connection::discard() {
  std::array<char, 4096> bytes{};
  for (int n = 0; n < kMaxDiscardReads && up_; ++n)
    if (receive(descriptor(), bytes.data(), bytes.size()).status != CallStatus::done) return;
}

bool Connection::peerHungUp() const {
  return up_ && net::peerHungUp(descriptor());
}

// Each step of a dial ends its turn first: who dials is not called back before connect() has returned.
void Connection::connectStep(Error error) {
  reenter(connector_) {
    dial_ = dial();
    if (dial_.status == CallStatus::done || dial_.status == CallStatus::broken) {
      yield asio::post(loop_.strand,
                       [resume = Resume{&loop_, ref_, &Connection::connectStep}] { resume({}); });
    }
    while (dial_.status != CallStatus::done) {
      if (dial_.status == CallStatus::broken) return onClosed();
      if (dial_.status == CallStatus::shortage) {
        yield tryLater(&Connection::connectStep);
        dial_ = dial();
      } else {
        yield waitFor(Socket::wait_write, &Connection::connectStep);
        dial_ = waitFailed(error) ? CallResult{CallStatus::shortage, 0, error.value()}
                                  : connectResult(descriptor());
        recordFailure(waitFailed(error) ? SystemCall::wait : SystemCall::connect, dial_);
      }
    }
    becomeUp();
    onConnected();
    if (up_ && unsent_ > 0) flush();
    readStep({});
  }
}

// A socket whose dial has failed is of no further use.
CallResult Connection::dial() {
  Error ignored;
  socket_.close(ignored);
  if (const CallResult opened = open(); opened.status != CallStatus::done) return opened;
  const CallResult begun = startConnect(descriptor(), peer_.data(), static_cast<socklen_t>(peer_.size()));
  recordFailure(SystemCall::connect, begun);
  return begun;
}

CallResult Connection::open() {
  Descriptor opened;
  if (const CallResult result = openStream(peer_.protocol().family(), opened); !opened) {
    recordFailure(SystemCall::socket, result);
    return result;
  }
  Error error;
  socket_.assign(peer_.protocol(), opened.get(), error);
  if (!error) {
    opened.release();
    return {};
  }
  const CallResult failed{CallStatus::shortage, 0, error.value()};
  recordFailure(SystemCall::registration, failed);
  return failed;
}

void Connection::becomeUp() {
  up_ = true;
  shortagesInRow_ = 0;
  disableDelay();
}

// Without it, small writes may wait in the system, and are lost with a reset.
void Connection::disableDelay() {
  Error error;
  socket_.set_option(asio::ip::tcp::no_delay(true), error);
  delayDisabled_ = !error;
}

void Connection::readStep(Error error) {
  reenter(reader_) {
    while (up_) {
      if (unsent_ > 0 || mustPause()) {
        readPaused_ = true;
        yield return;
      }
      yield waitFor(Socket::wait_read, &Connection::readStep);
      if (!up_) return;
      if (waitFailed(error)) {
        recordFailedWait(error);
        yield tryLater(&Connection::readStep);
        continue;
      }
      if (unsent_ > 0) continue;
      readStatus_ = readAll();
      if (readStatus_ == CallStatus::ended || readStatus_ == CallStatus::broken) return onClosed();
      if (readStatus_ == CallStatus::shortage) {
        yield tryLater(&Connection::readStep);
      }
    }
  }
}

// Reads and hands on, as long as a message that has begun is not whole: a read may be short, and the rest is
// not announced again. How the last read ended.
CallStatus Connection::readAll() {
  CallStatus status = fill();
  for (int n = 1; status == CallStatus::done; ++n) {
    onData();
    const bool goesOn = up_ && unsent_ == 0 && !mustPause() && expectsMore() && n < kMaxReadsInTurn;
    if (!goesOn) return CallStatus::wouldBlock;
    status = fill();
  }
  return status;
}

// Reads what has come. done: some has.
CallStatus Connection::fill() {
  const std::size_t before = buffer_.size();
  do {
    char* const into = buffer_.room(buffer_.size() == before ? kMinReadSize : 1);
    const CallResult got = receive(descriptor(), into, buffer_.spare());
    peerEnded_ = got.status == CallStatus::ended;
    recordFailure(SystemCall::receive, got);
    const bool over = peerEnded_ || got.status == CallStatus::broken;
    if (got.status != CallStatus::done)
      return over || buffer_.size() == before ? got.status : CallStatus::done;
    buffer_.filled(got.bytes);
  } while (buffer_.size() < readAheadLimit());
  return CallStatus::done;
}

void Connection::writeStep(Error error) {
  reenter(writer_) {
    do {
      if (writeStatus_ == CallStatus::shortage) {
        yield tryLater(&Connection::writeStep);
      } else {
        yield waitFor(Socket::wait_write, &Connection::writeStep);
      }
      if (!up_) return;
      if (waitFailed(error)) {
        recordFailedWait(error);
        writeStatus_ = CallStatus::shortage;
      } else {
        writeStatus_ = pushOut();
      }
      if (writeStatus_ == CallStatus::broken) return onClosed();
    } while (unsent_ > 0);
  }
  if (!writer_.is_complete() || !up_ || !std::exchange(writing_, false)) return;
  onAllWritten();
  resumeReading();
}

// Writes until all is written or the socket takes no more. broken, too, where nothing may be written any
// more.
CallStatus Connection::pushOut() {
  if (!mayWrite()) return CallStatus::broken;
  beforeRetry();
  if (!delayDisabled_) disableDelay();
  CallResult sent;
  while (unsent_ > 0 && sent.status == CallStatus::done) {
    sent = net::send(descriptor(), {unsent()});
    recordFailure(SystemCall::send, sent);
    const std::size_t kept = buffer_.size() - unsent_;
    buffer_.cut(kept, kept + sent.bytes);
    unsent_ -= sent.bytes;
  }
  if (buffer_.empty()) buffer_.drop(0);
  return sent.status;
}

void Connection::replaceUnsent(std::string_view text) {
  buffer_.cut(received(), buffer_.size());
  buffer_.add(text);
  unsent_ = text.size();
}

void Connection::flush() {
  later_ = false;
  if (!up_ || unsent_ == 0 || writing_) return;
  writeStatus_ = pushOut();
  if (writeStatus_ == CallStatus::broken) return onClosed();
  if (unsent_ == 0) {
    onAllWritten();
    return resumeReading();
  }
  writing_ = true;
  writer_ = {};
  writeStep({});
}

void Connection::waitFor(Socket::wait_type readiness, Step step) {
  const short awaited = readiness == Socket::wait_read ? POLLIN : POLLOUT;
  awaited_ |= awaited;
  socket_.async_wait(readiness, Resume{&loop_, ref_, step, awaited});
}

// They end as cancelled, which the steps take for readiness.
void Connection::endMissedWaits() {
  if (!std::exchange(readyUnnoticed_, false) || awaited_ == 0) return;
  loop_.faults.record(loop_.now(), SystemCall::wait, ETIME, "readiness was missed");
  Error ignored;
  socket_.cancel(ignored);
}

// After a shortage: bounded by the connection's present wait, as every wait is.
void Connection::tryLater(Step step) {
  const Duration pause = loop_.retryPause() * (1 << std::min(shortagesInRow_++, kMaxPauseDoublings));
  loop_.deadlines.add(loop_.now() + pause, [&loop = loop_, ref = ref_.packed(), step](TimePoint) {
    if (Connection* const connection = loop.find(SlotRef::unpacked(ref))) (connection->*step)({});
  });
}

void Connection::recordFailure(SystemCall call, const CallResult& result) {
  if (result.status == CallStatus::done) shortagesInRow_ = 0;
  if (result.status == CallStatus::shortage)
    loop_.faults.record(loop_.now(), call, result.error, "tried again");
  if (result.status != CallStatus::broken) return;
  lastError_ = result.error;
  if (!isPeersDoing(result.error))
    loop_.faults.record(loop_.now(), call, result.error, "the connection is closed");
}

void Connection::recordFailedWait(const Error& error) {
  loop_.faults.record(loop_.now(), SystemCall::wait, error.value(), "tried again");
}

void Connection::resumeReading() {
  if (up_ && unsent_ == 0 && !mustPause() && std::exchange(readPaused_, false)) readStep({});
}

void Connection::send(std::initializer_list<std::string_view> parts) {
  std::size_t done = 0;
  if (up_ && unsent_ == 0) {
    SendParts now{};
    std::copy(parts.begin(), parts.end(), now.begin());
    if (!delayDisabled_) disableDelay();
    const CallResult sent = net::send(descriptor(), now);
    recordFailure(SystemCall::send, sent);
    if (sent.status == CallStatus::broken) return onClosed();
    done = sent.bytes;
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
  if (waitTimer_) loop_.deadlines.cancel(waitTimer_);
  waitTimerAt_ = at;
  waitTimer_ = loop_.deadlines.add(at, [&loop = loop_, ref = ref_.packed()](TimePoint now) {
    if (Connection* const c = loop.find(SlotRef::unpacked(ref))) c->checkWait(now);
  });
}

void Connection::checkWait(TimePoint now) {
  waitTimerAt_ = TimePoint::max(), waitTimer_ = {};
  if (waitDeadline() <= now) return onTimeout();
  updateWaitTimer();
}

}  // namespace merlinbridge::net

#include <boost/asio/unyield.hpp>
