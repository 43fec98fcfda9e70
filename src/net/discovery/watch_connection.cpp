#include "net/discovery/watch_connection.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace merlinbridge::net {
namespace {

constexpr int kStatusOk = 200;

}  // namespace

WatchConnection::WatchConnection(EventLoop& loop, DiscoveryResponseOwner& owner, Duration connectTimeout,
                                 std::string_view message)
    : Connection(loop), owner_(owner), connectTimeout_(connectTimeout), lastHeardAt_(loop.now()) {
  send({message});
}

void WatchConnection::onData() {
  lastHeardAt_ = loop_.now();
  if (state_ == State::readingHead && !readHead()) return;
  const http::ChunkedDecoder::Result end = decodeBody();
  readEndpointLists();
  if (isUp() && (end != http::ChunkedDecoder::Result::incomplete || decodedBytes_ > kMaxEndpointListBytes)) onClosed();
}

// Returns true once the head is complete and announces a watch; what follows it in the buffer is the body.
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
  const auto end = chunks_.decode(buffer_.data(), decodedBytes_, raw, buffer_.size());
  buffer_.erase(decodedBytes_, raw);
  return end;
}

void WatchConnection::readEndpointLists() {
  using Result = config::JsonStreamSplitter::Result;
  while (isUp()) {
    const std::size_t splitBefore = splitter_.position();
    const bool begunBefore = splitter_.insideObject();
    const Result end = splitter_.scan(buffer_.view().substr(0, decodedBytes_));
    if (end == Result::invalid) return onClosed();
    trackObject(splitBefore, begunBefore, end);
    std::string list;
    if (end == Result::object) list = buffer_.view().substr(splitter_.objectStart(), splitter_.position() - splitter_.objectStart());
    dropSplit();
    if (end == Result::incomplete) return;
    if (!owner_.applyEndpointList(std::move(list))) return onClosed();
  }
}

// Notes when the present object began, and reports what came apart from the bytes of an incomplete object.
void WatchConnection::trackObject(std::size_t splitBefore, bool begunBefore,
                                  config::JsonStreamSplitter::Result end) {
  if (!begunBefore && (splitter_.insideObject() || end == config::JsonStreamSplitter::Result::object))
    objectBegunAt_ = loop_.now();
  if (splitBytes() > splitBefore) owner_.watchHeard();
}

// Drops what is complete from the buffer: whole objects, and what stands between them.
void WatchConnection::dropSplit() {
  const std::size_t bytes = splitBytes();
  if (bytes == 0) return;
  buffer_.consume(bytes);
  decodedBytes_ -= bytes;
  splitter_.prefixRemoved(bytes);
}

void WatchConnection::onClosed() {
  const bool rejected = head_.stage() == http::Message::Stage::done && head_.status() != kStatusOk;
  owner_.requestEnded(ref(), rejected ? DiscoveryOutcome::rejected : DiscoveryOutcome::failed);
}

bool WatchConnection::expectsMore() const {
  return state_ == State::readingBody ? splitter_.insideObject() : head_.hasBegun();
}

// Discovery sends a heartbeat every kHeartbeatInterval: a peer that vanished without closing the connection
// is detected by its absence. An object that is begun and never completed counts as silence, too, even if
// heartbeats come inside of it.
TimePoint WatchConnection::waitDeadline() const {
  if (!isUp()) return waitStartedAt() + connectTimeout_;
  return waitStartedAt() + kHeartbeatInterval + connectTimeout_;
}

TimePoint WatchConnection::waitStartedAt() const {
  return splitter_.insideObject() ? std::min(objectBegunAt_, lastHeardAt_) : lastHeardAt_;
}

}  // namespace merlinbridge::net
