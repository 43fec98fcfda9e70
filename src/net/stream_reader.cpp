#include "net/stream_reader.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/yield.hpp>
#include <utility>

#include "http/limits.hpp"

namespace merlinbridge::net {
namespace {

// Minimum free buffer space, in bytes, for the first read of fillBuffer().
constexpr std::size_t kMinReadBytes = 2048;
// The most that one read adds to the buffer, in bytes.
constexpr std::size_t kMaxReadBytes = 16384;
// Bounds the calls of onData() per connection and turn, so that a peer that sends continuously cannot block
// the event loop. The next wait reports what is left.
constexpr int kMaxReadsPerTurn = 16;
// Bounds the data that is discarded before a close, for the same reason: one request of the largest size.
constexpr std::size_t kMaxDiscardedBytes = http::kMaxHeadBytes + http::kMaxBodyBytes;

}  // namespace

// NOLINTNEXTLINE(readability-function-cognitive-complexity): Asio's coroutine macros are counted
void StreamReader::step(const Error& error) {
  reenter(coroutine_) {
    while (socket_.isUp()) {
      if (!writer_.allWritten() || callbacks_.readBufferFull()) {
        paused_ = true;
        yield return;
      }
      yield socket_.waitFor(Socket::wait_read, ConnectionStep::read);
      if (!socket_.isUp()) return;
      if (waitFailed(error)) {
        socket_.recordFailedWait(error);
        yield socket_.retryLater(ConnectionStep::read);
        continue;
      }
      if (!writer_.allWritten() || callbacks_.readBufferFull()) continue;
      lastStatus_ = readMessages();
      if (lastStatus_ == CallStatus::endOfStream || lastStatus_ == CallStatus::broken)
        return callbacks_.onClosed();
      if (lastStatus_ == CallStatus::shortage) {
        yield socket_.retryLater(ConnectionStep::read);
      }
    }
  }
}

void StreamReader::resume() {
  if (socket_.isUp() && writer_.allWritten() && !callbacks_.readBufferFull() && std::exchange(paused_, false))
    step({});
}

// Reads and calls onData() while a message is incomplete. Returns `wouldBlock` if reading is to continue
// after the next wait, otherwise the status of the last read.
CallStatus StreamReader::readMessages() {
  CallStatus status = fillBuffer();
  for (int reads = 1; status == CallStatus::done; ++reads) {
    callbacks_.onData();
    const bool readAgain = socket_.isUp() && writer_.allWritten() && !callbacks_.readBufferFull() &&
                           callbacks_.expectsMore() && reads < kMaxReadsPerTurn;
    if (!readAgain) return CallStatus::wouldBlock;
    status = fillBuffer();
  }
  return status;
}

// Reads into the buffer. Returns `done` if at least one byte was read, unless the stream ended or broke right
// after it: that status takes precedence.
CallStatus StreamReader::fillBuffer() {
  const std::size_t sizeBefore = buffer_.size();
  do {
    const std::size_t minRoom = buffer_.size() == sizeBefore ? kMinReadBytes : 1;
    if (!mayReserve(minRoom)) return readRefused(sizeBefore);
    char* const into = buffer_.reserve(minRoom);
    const std::size_t room = std::min(buffer_.freeBytes(), kMaxReadBytes);
    const CallResult result = receive(socket_.descriptor(), into, room);
    if (result.status == CallStatus::endOfStream) socket_.recordEndOfStream();
    socket_.recordResult(SystemCall::receive, result);
    const bool ended = result.status == CallStatus::endOfStream || result.status == CallStatus::broken;
    if (result.status != CallStatus::done)
      return ended || buffer_.size() == sizeBefore ? result.status : CallStatus::done;
    buffer_.commit(result.bytes);
  } while (buffer_.size() < callbacks_.readAheadLimit());
  return CallStatus::done;
}

bool StreamReader::readAhead() {
  if (!socket_.isUp() || !writer_.allWritten() || buffer_.size() >= callbacks_.readAheadLimit()) return true;
  const CallStatus status = fillBuffer();
  return status != CallStatus::endOfStream && status != CallStatus::broken;
}

bool StreamReader::mayReserve(std::size_t bytes) const {
  const std::size_t capacity = buffer_.capacityFor(bytes);
  if (capacity <= std::max(buffer_.capacity(), BufferBudget::kGuaranteedBytes)) return true;
  return callbacks_.mayGrowBuffer(capacity, BufferUse::receiving);
}

// What has been read before is handled first.
CallStatus StreamReader::readRefused(std::size_t sizeBefore) {
  if (buffer_.size() > sizeBefore) return CallStatus::done;
  callbacks_.onBufferRefused();
  return CallStatus::wouldBlock;
}

void StreamReader::discard() {
  std::array<char, kMaxReadBytes> bytes{};
  for (std::size_t discarded = 0; discarded < kMaxDiscardedBytes && socket_.isUp();) {
    const CallResult result = receive(socket_.descriptor(), bytes.data(), bytes.size());
    if (result.status != CallStatus::done) return;
    discarded += result.bytes;
  }
}

}  // namespace merlinbridge::net

#include <boost/asio/unyield.hpp>
