#include "net/discovery/watch_connection.hpp"

#include <string>
#include <utility>

namespace merlinbridge::net {
namespace {

constexpr int kStatusOk = 200;

}  // namespace

WatchConnection::WatchConnection(EventLoop& loop, DiscoveryResponseHandler& handler, Duration connectTimeout,
                                 std::string_view message)
    : DiscoveryConnection(loop, handler, connectTimeout, message), connectTimeout_(connectTimeout) {}

void WatchConnection::onData() {
  if (stage_ == Stage::head && !readHead()) return;
  const http::ChunkedDecoder::Result end = decodeBody();
  readEndpointLists();
  if (isUp() && (end != http::ChunkedDecoder::Result::incomplete || decodedBytes_ > kMaxEndpointListBytes))
    onClosed();
}

// Returns true once the head is complete with status 200; the buffer then starts with the body.
bool WatchConnection::readHead() {
  const auto messageStage = head_.advance(buffer_.data(), buffer_.size());
  progress_.advance(loop_.now());
  if (messageStage == http::Message::Stage::head) return false;
  if (messageStage == http::Message::Stage::invalid || head_.status() != kStatusOk) {
    onClosed();
    return false;
  }
  stage_ = Stage::body;
  headDuration_ = partAge();
  buffer_.consume(head_.bodyOffset());
  return true;
}

http::ChunkedDecoder::Result WatchConnection::decodeBody() {
  if (!head_.isChunked()) {
    decodedBytes_ = buffer_.size();
    return http::ChunkedDecoder::Result::incomplete;
  }
  std::size_t raw = decodedBytes_;
  const auto end = chunkedDecoder_.decode(buffer_.data(), decodedBytes_, raw, buffer_.size());
  buffer_.erase(decodedBytes_, raw);
  return end;
}

void WatchConnection::readEndpointLists() {
  using Result = config::JsonStreamSplitter::Result;
  while (isUp()) {
    const bool wasInsideObject = splitter_.insideObject();
    const std::uint64_t tokensBefore = splitter_.tokenCount();
    const Result end = splitter_.scan(buffer_.view().substr(0, decodedBytes_));
    if (end == Result::invalid) return onClosed();
    trackProgress(wasInsideObject, tokensBefore);
    std::string list;
    if (end == Result::object)
      list = buffer_.view().substr(splitter_.objectStart(), splitter_.position() - splitter_.objectStart());
    const bool hasHeartbeat = end == Result::incomplete && completeBytes() > 0;
    dropCompleteBytes();
    if (hasHeartbeat) handler_.watchReceivedHeartbeat(ref());
    if (end == Result::incomplete) return;
    if (!handler_.applyEndpointList(ref(), std::move(list))) return onClosed();
  }
}

// Heartbeats inside an object are no progress, nor are the bytes of a string before its end.
void WatchConnection::trackProgress(bool wasInsideObject, std::uint64_t tokensBefore) {
  const TimePoint now = loop_.now();
  if (completeBytes() > 0) {
    progress_.endPart(now);
    headDuration_ = Duration{0};
  }
  if (splitter_.insideObject() && !wasInsideObject) {
    progress_.beginPart(now, headDuration_);
    updateWaitTimer();
  } else if (splitter_.tokenCount() != tokensBefore) {
    progress_.advance(now);
  }
}

// Removes complete objects, and the bytes between objects, from the buffer.
void WatchConnection::dropCompleteBytes() {
  const std::size_t bytes = completeBytes();
  if (bytes == 0) return;
  buffer_.consume(bytes);
  decodedBytes_ -= bytes;
  splitter_.prefixRemoved(bytes);
}

void WatchConnection::onClosed() {
  const bool rejected = head_.stage() == http::Message::Stage::done && head_.status() != kStatusOk;
  finish(rejected ? DiscoveryOutcome::rejected : DiscoveryOutcome::failed);
}

bool WatchConnection::expectsMore() const {
  return stage_ == Stage::body ? splitter_.insideObject() : head_.hasBegun();
}

// Discovery sends a heartbeat every kHeartbeatInterval, so a peer that vanished without closing the
// connection is detected by missing heartbeats.
TimePoint WatchConnection::waitDeadline() const {
  return isUp() ? DiscoveryConnection::waitDeadline() : progress_.partStartedAt() + connectTimeout_;
}

}  // namespace merlinbridge::net
