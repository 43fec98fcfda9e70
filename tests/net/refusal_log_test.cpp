/// \file
/// What the log says about refused requests and about memory.
#include "net/client/refusal_log.hpp"

#include <catch2/catch.hpp>
#include <sstream>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

TEST_CASE("Refused requests are logged once for each reason and interval") {
  std::ostringstream text;
  Log log(text, LogLevel::info);
  net::RefusalLog refusals(log);
  const TimePoint start{1000s};
  for (int number = 0; number < 100; ++number) refusals.record(start, "not HTTP/1.1", "");
  refusals.record(start, "no such path", "00000000000000a1");
  refusals.record(start + 10s, "not HTTP/1.1", "00000000000000a2");
  const std::string prefix = "info: client_requests_refused: requests refused without asking a host ";
  CHECK(text.str() == prefix + "reason=\"not HTTP/1.1\" request=none since_last_line=1\n" + prefix +
                          "reason=\"no such path\" request=00000000000000a1 since_last_line=1\n" + prefix +
                          "reason=\"not HTTP/1.1\" request=00000000000000a2 since_last_line=100\n");
}

TEST_CASE("An unsound request and a copy of an id are logged with their reasons") {
  GatewayUnderTest gateway;
  TestPeer client = gateway.connectClient();
  client.send(replaceOnce(clientRequest("look"), "GET", "DELETE"));
  REQUIRE(gateway.runUntilReceived(client, "HTTP/1.1 405"));
  CHECK_THAT(gateway.logText.str(), Catch::Contains("client_requests_refused") &&
                                        Catch::Contains("not the HTTP method of the Req-Kind"));
}

TEST_CASE("Each further eighth of the memory limit is logged once") {
  GatewayUnderTest gateway(128, "", "\"limits\":{", "\"limits\":{\"memory_mb\":160,");
  gateway.server.checkMemory();
  gateway.server.checkMemory();
  const std::string log = gateway.logText.str();
  const std::size_t first = log.find("info: memory_watermark: ");
  REQUIRE(first != std::string::npos);
  CHECK(log.find("limit_kb=163840", first) != std::string::npos);
  CHECK(log.find("memory_watermark", first + 30) == std::string::npos);
}
