/// \file
/// Without a new event, a client connection does nothing, whatever state it is in.
#include <catch2/catch.hpp>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr std::size_t kMaxHandlers = 2000;  // enough to handle what has been sent
const std::string kExpectField = "Expect: 100-continue\r\n";

// Runs up to `limit` handlers and returns their number.
std::size_t runHandlers(GatewayUnderTest& gateway, std::size_t limit) {
  std::size_t count = 0;
  while (count < limit && gateway.loop.io.poll_one() > 0) ++count;
  gateway.loop.io.restart();
  return count;
}

std::string firstBytes(const std::string& text, std::size_t missing) {
  return text.substr(0, text.size() - missing);
}

std::string chunkedRequest(const std::string& extraFields) {
  return replaceOnce(clientRequest("pay", "", extraFields), "Content-Length: 0",
                     "Transfer-Encoding: chunked");
}

struct ConnectionState {
  std::string name;
  std::string sent;
};

std::vector<ConnectionState> connectionStates() {
  const std::string look = clientRequest("look");
  return {
      {"idle", ""},
      {"idle after a response", kLiveProbe},
      {"half a line", "GET"},
      {"half a head", firstBytes(look, 3)},
      {"head of a body that is waited for", firstBytes(clientRequest("pay", "body"), 4)},
      {"head that expects an interim response", firstBytes(clientRequest("pay", "body", kExpectField), 4)},
      {"body begun behind such a head", firstBytes(clientRequest("pay", "body", kExpectField), 3)},
      {"chunked head that expects an interim response", chunkedRequest(kExpectField)},
      {"half a chunk", chunkedRequest("") + "5\r\nab"},
      {"half a trailer", chunkedRequest("") + "1\r\na\r\n0\r\nTrailer: x"},
      {"awaiting the response", look},
      {"awaiting the response, others pipelined", look + kLiveProbe + clientRequest("look")},
      {"awaiting the response, half a request pipelined", look + firstBytes(clientRequest("look"), 3)},
      {"pipelined requests answered, half a request left", std::string(kLiveProbe) + kLiveProbe + "GET"},
      {"interim response behind a pipelined request",
       kLiveProbe + firstBytes(clientRequest("pay", "body", kExpectField), 4)},
      {"refused for its head",
       firstBytes(replaceOnce(clientRequest("pay", "body", kExpectField), "Plan: free", "Plan: none"), 4)},
      {"closing after bad framing", "no request line\r\n\r\n"},
  };
}

}  // namespace

TEST_CASE("Without a new event a client connection runs no handler and writes nothing") {
  const bool isDraining = GENERATE(false, true);
  for (const auto& [name, sent] : connectionStates()) {
    INFO(name << (isDraining ? ", draining" : ""));
    GatewayUnderTest gateway;
    if (isDraining) gateway.server.startDraining(gateway.clock.currentTime + 3s);
    TestPeer client = gateway.connectClient();
    client.send(sent);
    std::size_t handlers = 0;
    for (int rounds = 0; rounds < 20; ++rounds) handlers += runHandlers(gateway, kMaxHandlers - handlers);
    CHECK(handlers < kMaxHandlers);
    const std::string received = client.readAvailable();
    CHECK(runHandlers(gateway, kMaxHandlers) == 0);
    CHECK(client.readAvailable() == received);
  }
}
