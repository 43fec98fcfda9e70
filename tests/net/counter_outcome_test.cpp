#include "net/counter/counter_outcome.hpp"

#include <catch2/catch.hpp>

using namespace merlinbridge;
using net::CallDelivery;
using net::CounterResponse;

TEST_CASE("a response of the counter service with a total is ok and carries the total") {
  const CounterResponse response = net::parseCounterResponse(200, "12.5");
  CHECK(response.outcome == CounterCallOutcome::ok);
  CHECK(response.total == 12.5);
}

TEST_CASE("a 200 of the counter service without a finite number leaves open whether the units were added") {
  for (const std::string_view body : {"", "x", "inf", "-inf", "nan"}) {
    const CounterResponse response = net::parseCounterResponse(200, body);
    CHECK(response.outcome == CounterCallOutcome::unknown);
    CHECK(response.total == 0);
  }
}

TEST_CASE("a 400, 404 or 503 of the counter service guarantees that nothing was added, whatever the body") {
  for (const int status : {400, 404, 503}) {
    const CounterResponse response = net::parseCounterResponse(status, "12.5");
    CHECK(response.outcome == CounterCallOutcome::notAdded);
    CHECK(response.total == 0);
  }
}

TEST_CASE("any other status of the counter service leaves open whether the units were added") {
  for (const int status : {201, 302, 429, 500, 502, 504})
    CHECK(net::parseCounterResponse(status, "12.5").outcome == CounterCallOutcome::unknown);
}

TEST_CASE("a counter call without a response is known not to have been added only if it was never written") {
  CHECK(net::outcomeWithoutResponse(CallDelivery::neverWritten) == CounterCallOutcome::notAdded);
  CHECK(net::outcomeWithoutResponse(CallDelivery::maybeWritten) == CounterCallOutcome::unknown);
}
