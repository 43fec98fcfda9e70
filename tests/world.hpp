#pragma once

// Earlier names of the test library, for tests/process_test.cpp, tests/program.hpp,
// tests/gateway_core_test.cpp and tests/http_test.cpp. New tests include the headers of tests/support/.

#include <catch2/catch.hpp>
#include <cstdint>
#include <string>

#include "support/gateway_under_test.hpp"
#include "support/simulated_fleet.hpp"

namespace merlinbridge::testing {

using Peer = TestPeer;

inline PolicySettings plainSettings(std::uint32_t gateways = 3) {
  return testPolicySettings(gateways);
}

inline std::string hostLine(std::uint16_t port, const std::string& name, const std::string& state) {
  return endpointJson(port, name, state);
}

inline std::string configText(const std::string& listen, const std::string& discovery,
                              const std::string& counter, const std::string& endpoints, std::size_t sockets) {
  return gatewayConfigText(listen, discovery, counter, endpoints, sockets);
}

struct LoopbackGateway {
  static std::string request(const std::string& method, const std::string& body = "",
                             const std::string& extraFields = "", int deadlineMs = 900) {
    return clientRequest(method, body, extraFields, deadlineMs);
  }
  static std::string ok(const std::string& body, const std::string& extraFields = "") {
    return okResponse(body, extraFields);
  }
  static std::string metered(int customer) { return meteredRequest(customer); }
  static std::string replaced(const std::string& text, const std::string& search,
                              const std::string& replacement) {
    return replaceOnce(text, search, replacement);
  }
};

}  // namespace merlinbridge::testing
