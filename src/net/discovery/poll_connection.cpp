#include "net/discovery/poll_connection.hpp"

#include <string>

namespace merlinbridge::net {
namespace {

constexpr int kStatusOk = 200;

}  // namespace

PollConnection::PollConnection(EventLoop& loop, DiscoveryResponseOwner& owner, Duration connectTimeout,
                               std::string_view message)
    : Connection(loop),
      owner_(owner),
      message_(http::Message::Kind::response, http::Message::Body::buffered, kMaxEndpointListBytes),
      deadline_(loop.now() + kHeartbeatInterval + connectTimeout) {
  send({message});
}

void PollConnection::onData() {
  const auto stage = message_.advance(buffer_.data(), received());
  if (stage == http::Message::Stage::invalid) return finish(DiscoveryOutcome::failed);
  if (stage != http::Message::Stage::done) return;
  if (message_.status() != kStatusOk) return finish(DiscoveryOutcome::rejected);
  const bool applied = owner_.applyEndpointList(std::string(message_.body()));
  finish(applied ? DiscoveryOutcome::updated : DiscoveryOutcome::failed);
}

}  // namespace merlinbridge::net
