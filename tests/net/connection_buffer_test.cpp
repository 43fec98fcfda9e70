/// \file
/// The buffer that a connection shares between received bytes and bytes to be written.
#include <catch2/catch.hpp>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

/// Takes each three received bytes for a message and answers it with three bytes, while reading goes on.
class ThreeByteResponder final : public net::Connection {
 public:
  using net::Connection::Connection;

  std::string messages;  ///< All messages taken, one behind the other.

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

TEST_CASE("Bytes that wait to be written are not taken for received bytes") {
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
