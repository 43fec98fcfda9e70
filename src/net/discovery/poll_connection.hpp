#pragma once

#include <string_view>

#include "config/json_stream_splitter.hpp"
#include "http/message.hpp"
#include "net/discovery/discovery_connection.hpp"

namespace merlinbridge::net {

/// One poll: a request to discovery for the complete endpoint list. The whole response is one part, which
/// includes the connect.
class PollConnection final : public DiscoveryConnection {
 public:
  /// `message`: the whole HTTP request, written once the connection is up.
  PollConnection(EventLoop&, DiscoveryResponseHandler&, Duration connectTimeout, std::string_view message);

  bool isInsideList() const override { return stage_ == Stage::body; }

 private:
  void onData() override;
  void onClosed() override { finish(DiscoveryOutcome::failed); }
  bool expectsMore() const override { return response_.hasBegun(); }
  void readPartOfList(bool hasHead);

  http::Message response_;
  config::JsonStreamSplitter splitter_;  ///< Checks and counts the tokens that have arrived.
};

}  // namespace merlinbridge::net
