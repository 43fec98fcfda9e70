#include "net/discovery/poll_connection.hpp"

#include <string>

namespace merlinbridge::net {
namespace {

constexpr int kStatusOk = 200;

}  // namespace

PollConnection::PollConnection(EventLoop& loop, DiscoveryResponseHandler& handler, Duration connectTimeout,
                               std::string_view message)
    : Connection(loop),
      handler_(handler),
      response_(http::Message::Kind::response, http::Message::Body::buffered, kMaxEndpointListBytes),
      deadline_(loop.now() + kHeartbeatInterval + connectTimeout) {
  send({message});
}

void PollConnection::onData() {
  const auto stage = response_.advance(buffer_.data(), received());
  if (stage == http::Message::Stage::invalid) return finish(DiscoveryOutcome::failed);
  if (stage != http::Message::Stage::done) return;
  if (response_.status() != kStatusOk) return finish(DiscoveryOutcome::rejected);
  const bool applied = handler_.applyEndpointList(std::string(response_.body()));
  finish(applied ? DiscoveryOutcome::updated : DiscoveryOutcome::failed);
}

}  // namespace merlinbridge::net
