#include "net/discovery/watch_connection.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace merlinbridge::net {
namespace {

constexpr int kStatusOk = 200;

}  // namespace

WatchConnection::WatchConnection(EventLoop& loop, DiscoveryResponseHandler& handler, Duration connectTimeout,
                                 std::string_view message)
    : Connection(loop), handler_(handler), connectTimeout_(connectTimeout), lastReceivedAt_(loop.now()) {
  send({message});
}

void WatchConnection::onData() {
  lastReceivedAt_ = loop_.now();
  if (state_ == State::readingHead && !readHead()) return;
  const http::ChunkedDecoder::Result end = decodeBody();
  readEndpointLists();
  if (isUp() && (end != http::ChunkedDecoder::Result::incomplete || decodedBytes_ > kMaxEndpointListBytes)) onClosed();
}

// Returns true once the head is complete with status 200; the buffer then starts with the body.
bool WatchConnection::readHead() {
  const auto stage = head_.advance(buffer_.data(), buffer_.size());
  if (stage == http::Message::Stage::head) return false;
  if (stage == http::Message::Stage::invalid || head_.status() != kStatusOk) {
    onClosed();
    return false;
  }
  state_ = State::readingBody;
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
    const std::size_t scannedBytesBefore = splitter_.position();
    const bool wasInObject = splitter_.insideObject();
    const Result end = splitter_.scan(buffer_.view().substr(0, decodedBytes_));
    if (end == Result::invalid) return onClosed();
    trackObjectProgress(scannedBytesBefore, wasInObject, end);
    std::string list;
    if (end == Result::object) list = buffer_.view().substr(splitter_.objectStart(), splitter_.position() - splitter_.objectStart());
    dropCompleteBytes();
    if (end == Result::incomplete) return;
    if (!handler_.applyEndpointList(std::move(list))) return onClosed();
  }
}

// Records when an object started. Tells the handler of heartbeats and complete objects, but not of the bytes
// of an incomplete object.
void WatchConnection::trackObjectProgress(std::size_t scannedBytesBefore, bool wasInObject,
                                          config::JsonStreamSplitter::Result end) {
  if (!wasInObject && (splitter_.insideObject() || end == config::JsonStreamSplitter::Result::object))
    objectStartedAt_ = loop_.now();
  if (completeBytes() > scannedBytesBefore) handler_.watchReceivedData();
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
  handler_.requestEnded(ref(), rejected ? DiscoveryOutcome::rejected : DiscoveryOutcome::failed);
}

bool WatchConnection::expectsMore() const {
  return state_ == State::readingBody ? splitter_.insideObject() : head_.hasBegun();
}

// Discovery sends a heartbeat every kHeartbeatInterval, so a peer that vanished without closing the
// connection is detected by missing heartbeats. An object that is never completed times out as well, even if
// heartbeats arrive inside it.
TimePoint WatchConnection::waitDeadline() const {
  if (!isUp()) return waitStartedAt() + connectTimeout_;
  return waitStartedAt() + kHeartbeatInterval + connectTimeout_;
}

TimePoint WatchConnection::waitStartedAt() const {
  return splitter_.insideObject() ? std::min(objectStartedAt_, lastReceivedAt_) : lastReceivedAt_;
}

}  // namespace merlinbridge::net
