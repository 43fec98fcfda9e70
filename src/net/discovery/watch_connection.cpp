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
  const http::ChunkedDecoder::End end = decodeBody();
  readEndpointLists();
  if (isUp() && (end != http::ChunkedDecoder::End::more || decodedBytes_ > kMaxEndpointListBytes)) onClosed();
}

// Returns true once the head is complete with status 200; the buffer then starts with the body.
bool WatchConnection::readHead() {
  const auto stage = head_.advance(buffer_.data(), buffer_.size());
  if (stage == http::Message::Stage::head) return false;
  if (stage == http::Message::Stage::bad || head_.status() != kStatusOk) {
    onClosed();
    return false;
  }
  state_ = State::readingBody;
  buffer_.consume(head_.bodyOffset());
  return true;
}

http::ChunkedDecoder::End WatchConnection::decodeBody() {
  if (!head_.isChunked()) {
    decodedBytes_ = buffer_.size();
    return http::ChunkedDecoder::End::more;
  }
  std::size_t raw = decodedBytes_;
  const auto end = chunkedDecoder_.decode(buffer_.data(), decodedBytes_, raw, buffer_.size());
  buffer_.erase(decodedBytes_, raw);
  return end;
}

void WatchConnection::readEndpointLists() {
  using End = config::JsonStreamSplitter::End;
  while (isUp()) {
    const std::size_t scannedBytesBefore = splitter_.at();
    const bool wasInObject = splitter_.begun();
    const End end = splitter_.take(buffer_.view().substr(0, decodedBytes_));
    if (end == End::bad) return onClosed();
    trackObjectProgress(scannedBytesBefore, wasInObject, end);
    std::string list;
    if (end == End::object) list = buffer_.view().substr(splitter_.from(), splitter_.at() - splitter_.from());
    dropCompleteBytes();
    if (end == End::more) return;
    if (!handler_.applyEndpointList(std::move(list))) return onClosed();
  }
}

// Records when an object started. Tells the handler of heartbeats and complete objects, but not of the bytes
// of an incomplete object.
void WatchConnection::trackObjectProgress(std::size_t scannedBytesBefore, bool wasInObject,
                                          config::JsonStreamSplitter::End end) {
  if (!wasInObject && (splitter_.begun() || end == config::JsonStreamSplitter::End::object))
    objectStartedAt_ = loop_.now();
  if (completeBytes() > scannedBytesBefore) handler_.watchReceivedData();
}

// Removes complete objects, and the bytes between objects, from the buffer.
void WatchConnection::dropCompleteBytes() {
  const std::size_t bytes = completeBytes();
  if (bytes == 0) return;
  buffer_.consume(bytes);
  decodedBytes_ -= bytes;
  splitter_.dropped(bytes);
}

void WatchConnection::onClosed() {
  const bool rejected = head_.stage() == http::Message::Stage::done && head_.status() != kStatusOk;
  handler_.requestEnded(ref(), rejected ? DiscoveryOutcome::rejected : DiscoveryOutcome::failed);
}

bool WatchConnection::expectsMore() const {
  return state_ == State::readingBody ? splitter_.begun() : head_.hasBegun();
}

// Discovery sends a heartbeat every kHeartbeatInterval, so a peer that vanished without closing the
// connection is detected by missing heartbeats. An object that is never completed times out as well, even if
// heartbeats arrive inside it.
TimePoint WatchConnection::waitDeadline() const {
  if (!isUp()) return waitStartedAt() + connectTimeout_;
  return waitStartedAt() + kHeartbeatInterval + connectTimeout_;
}

TimePoint WatchConnection::waitStartedAt() const {
  return splitter_.begun() ? std::min(objectStartedAt_, lastReceivedAt_) : lastReceivedAt_;
}

}  // namespace merlinbridge::net
