#pragma once

#include <string_view>

#include "http/message.hpp"
#include "net/connection.hpp"
#include "net/discovery/discovery_response_handler.hpp"

namespace merlinbridge::net {

/// One poll: a request to discovery for the complete endpoint list. It ends as `failed` if it takes longer
/// than a heartbeat interval plus the connect timeout, including the connect. The event loop owns the
/// connection.
class PollConnection final : public Connection {
 public:
  /// `message`: the whole HTTP request, written once the connection is up.
  PollConnection(EventLoop&, DiscoveryResponseHandler&, Duration connectTimeout, std::string_view message);

 private:
  void onData() override;
  void onClosed() override { finish(DiscoveryOutcome::failed); }
  bool expectsMore() const override { return response_.hasBegun(); }
  TimePoint waitDeadline() const override { return deadline_; }
  void onTimeout() override { finish(DiscoveryOutcome::failed); }
  void finish(DiscoveryOutcome outcome) { handler_.requestEnded(ref(), outcome); }

  DiscoveryResponseHandler& handler_;
  http::Message response_;
  const TimePoint deadline_;
};

}  // namespace merlinbridge::net
