#include "net/stream_writer.hpp"

#include <algorithm>
#include <boost/asio/yield.hpp>
#include <utility>

namespace merlinbridge::net {
namespace {

std::size_t totalSize(std::initializer_list<std::string_view> parts) {
  std::size_t size = 0;
  for (const std::string_view part : parts) size += part.size();
  return size;
}

}  // namespace

WriteEvent StreamWriter::send(std::initializer_list<std::string_view> parts) {
  std::size_t written = 0;
  if (socket_.isUp() && unsent_ == 0) {
    SendParts partArray{};
    std::copy(parts.begin(), parts.end(), partArray.begin());
    socket_.ensureNoDelay();
    const CallResult sent = net::send(socket_.descriptor(), partArray);
    socket_.recordResult(SystemCall::send, sent);
    if (sent.status == CallStatus::broken) return WriteEvent::failed;
    written = sent.bytes;
  }
  const std::size_t left = totalSize(parts) - written;
  const std::size_t capacity = buffer_.capacityFor(left);
  const bool grows = capacity > std::max(buffer_.capacity(), BufferBudget::kGuaranteedBytes);
  if (grows && !callbacks_.mayGrowBuffer(capacity, BufferUse::sending)) return WriteEvent::failed;
  if (left > 0) buffer_.reserve(left);
  for (std::string_view part : parts) {
    const std::size_t writtenOfPart = std::min(written, part.size());
    written -= writtenOfPart;
    part.remove_prefix(writtenOfPart);
    buffer_.append(part);
    unsent_ += part.size();
  }
  return unsent_ > 0 ? WriteEvent::none : WriteEvent::allWritten;
}

void StreamWriter::sendLater(std::string_view part) {
  buffer_.append(part);
  unsent_ += part.size();
  if (!std::exchange(flushScheduled_, true)) socket_.loop().flushLater(socket_.ref());
}

WriteEvent StreamWriter::flush() {
  flushScheduled_ = false;
  if (!socket_.isUp() || unsent_ == 0 || waiting_) return WriteEvent::none;
  lastStatus_ = writeUnsent();
  if (lastStatus_ == CallStatus::broken) return WriteEvent::failed;
  if (unsent_ == 0) return WriteEvent::allWritten;
  waiting_ = true;
  coroutine_ = {};
  return step({});
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): Asio's coroutine macros are counted
WriteEvent StreamWriter::step(const Error& error) {
  reenter(coroutine_) {
    do {
      if (lastStatus_ == CallStatus::shortage) {
        yield socket_.retryLater(ConnectionStep::write);
      } else {
        yield socket_.waitFor(Socket::wait_write, ConnectionStep::write);
      }
      if (!socket_.isUp()) return WriteEvent::none;
      if (waitFailed(error)) {
        socket_.recordFailedWait(error);
        lastStatus_ = CallStatus::shortage;
      } else {
        lastStatus_ = writeUnsent();
      }
      if (lastStatus_ == CallStatus::broken) return WriteEvent::failed;
    } while (unsent_ > 0);
  }
  // A yield also reaches this point; everything has been written only if the coroutine is complete.
  const bool completed = coroutine_.is_complete() && socket_.isUp() && std::exchange(waiting_, false);
  return completed ? WriteEvent::allWritten : WriteEvent::none;
}

// Writes until everything is written or the socket accepts no more. Returns the status of the last call, or
// `broken` if mayWrite() forbids writing.
CallStatus StreamWriter::writeUnsent() {
  if (!callbacks_.mayWrite()) return CallStatus::broken;
  callbacks_.beforeWritingUnsent();
  socket_.ensureNoDelay();
  CallResult sent;
  while (unsent_ > 0 && sent.status == CallStatus::done) {
    sent = net::send(socket_.descriptor(), {unsent()});
    socket_.recordResult(SystemCall::send, sent);
    const std::size_t received = buffer_.size() - unsent_;
    buffer_.erase(received, received + sent.bytes);
    unsent_ -= sent.bytes;
  }
  if (buffer_.empty()) buffer_.consume(0);
  return sent.status;
}

void StreamWriter::replaceUnsent(std::string_view text) {
  buffer_.erase(buffer_.size() - unsent_, buffer_.size());
  buffer_.append(text);
  unsent_ = text.size();
}

}  // namespace merlinbridge::net

#include <boost/asio/unyield.hpp>
