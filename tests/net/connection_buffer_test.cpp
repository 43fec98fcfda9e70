/// \file
/// The buffer that a connection uses for both received and unsent bytes.
#include <catch2/catch.hpp>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

/// Treats every three received bytes as a message and answers each with three bytes while it continues
/// reading.
class ThreeByteResponder final : public net::Connection {
 public:
  using net::Connection::Connection;

  std::string messages;  ///< All received messages, concatenated.

 private:
  static constexpr std::size_t kMessageBytes = 3;

  void onData() override {
    while (received() >= kMessageBytes) {
      messages += buffer_.view().substr(0, kMessageBytes);
      buffer_.consume(kMessageBytes);
      sendLater("yes");
    }
  }
  void onClosed() override {}
  TimePoint waitDeadline() const override { return TimePoint::max(); }
  void onTimeout() override {}
};

}  // namespace

TEST_CASE("Unsent bytes are not mistaken for received bytes") {
  GatewayUnderTest gateway;
  PeerListener remote;
  auto& responder = gateway.loop.open<ThreeByteResponder>();
  responder.connect(net::parseAddress(remote.address()));
  std::optional<TestPeer> peer;
  REQUIRE(gateway.runUntilAccepted(remote, peer));
  peer->send("onetwoth");
  REQUIRE(gateway.runUntilReceived(*peer, "yesyes"));
  peer->send("r");
  REQUIRE(gateway.runUntilReceived(*peer, "yesyesyes"));
  CHECK(responder.messages == "onetwothr");
}
