/// \file
/// What the log says about client connections that have ended.
#include "net/client/connection_end_log.hpp"

#include <catch2/catch.hpp>
#include <sstream>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

TEST_CASE("Ended connections are logged once for each reason and interval, the rest at the exit") {
  std::ostringstream text;
  Log log(text, LogLevel::info);
  net::ConnectionEndLog ends(log);
  const TimePoint start{1000s};
  ends.record(start, net::ConnectionEndReason::evicted, {.responses = 3});
  for (int number = 0; number < 5; ++number)
    ends.record(start + 9s, net::ConnectionEndReason::evicted, {.responses = 2, .interimResponses = 1});
  ends.logRest();
  ends.logRest();
  const std::string prefix =
      "info: client_connections_ended: client connections ended since the last line of this reason ";
  CHECK(text.str() == prefix + "reason=evicted connections=1 responses=3 interim_responses=0 refusals=0\n" +
                          prefix +
                          "reason=evicted connections=5 responses=10 interim_responses=5 refusals=0\n");
}

TEST_CASE("The log counts a connection's interim responses, responses and refusals, and says why it ended") {
  GatewayUnderTest gateway;
  const std::string body = "body";
  const std::string request = clientRequest("pay", body, "Expect: 100-continue\r\n");
  ForwardedRequest forwarded(gateway, clientRequest("look"));
  forwarded.host->send(okResponse("one"));
  REQUIRE(gateway.runUntilReceived(forwarded.client, "one"));
  forwarded.client.send(request.substr(0, request.size() - body.size()));
  REQUIRE(gateway.runUntilReceived(forwarded.client, "100 Continue"));
  gateway.advanceClock(2s);
  REQUIRE(gateway.runUntilReceived(forwarded.client, "HTTP/1.1 408"));
  forwarded.client.close();
  gateway.runPendingEvents();
  CHECK_THAT(
      gateway.logText.str(),
      Catch::Contains("reason=\"closed after a response\" connections=1 responses=2 interim_responses=1"));
}
