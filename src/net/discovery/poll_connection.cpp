#include "net/discovery/poll_connection.hpp"

#include <string>

namespace merlinbridge::net {
namespace {

constexpr int kStatusOk = 200;

}  // namespace

PollConnection::PollConnection(EventLoop& loop, DiscoveryResponseHandler& handler, Duration connectTimeout,
                               std::string_view message)
    : DiscoveryConnection(loop, handler, connectTimeout, message),
      response_(http::Message::Kind::response, http::Message::Body::buffered, kMaxEndpointListBytes) {
  progress_.beginPart(loop.now());
}

void PollConnection::onData() {
  const auto messageStage = response_.advance(buffer_.data(), received());
  if (messageStage == http::Message::Stage::invalid) return finish(DiscoveryOutcome::failed);
  const bool hasHead = messageStage != http::Message::Stage::head;
  if (hasHead && response_.status() != kStatusOk) return finish(DiscoveryOutcome::rejected);
  if (messageStage != http::Message::Stage::done) return readPartOfList(hasHead);
  const bool applied = handler_.applyEndpointList(ref(), std::string(response_.body()));
  finish(applied ? DiscoveryOutcome::updated : DiscoveryOutcome::failed);
}

// Every byte of the head counts as progress, but of the body only the tokens of the list.
void PollConnection::readPartOfList(bool hasHead) {
  if (stage_ == Stage::head) progress_.advance(loop_.now());
  if (!hasHead) return;
  stage_ = Stage::body;
  const std::uint64_t tokensBefore = splitter_.tokenCount();
  if (splitter_.scan(response_.body()) == config::JsonStreamSplitter::Result::invalid)
    return finish(DiscoveryOutcome::failed);
  if (splitter_.tokenCount() != tokensBefore) progress_.advance(loop_.now());
}

}  // namespace merlinbridge::net
