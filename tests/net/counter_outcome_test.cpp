#include "net/counter/counter_outcome.hpp"

#include <catch2/catch.hpp>

using namespace merlinbridge;
using net::CallDelivery;
using net::CounterAnswer;

TEST_CASE("a counter's answer with a total is ok and carries the total") {
  const CounterAnswer answer = net::readCounterAnswer(200, "12.5");
  CHECK(answer.outcome == CounterCallOutcome::ok);
  CHECK(answer.total == 12.5);
}

TEST_CASE("a counter's 200 without a finite number leaves open whether the units were added") {
  for (const std::string_view body : {"", "x", "inf", "-inf", "nan"}) {
    const CounterAnswer answer = net::readCounterAnswer(200, body);
    CHECK(answer.outcome == CounterCallOutcome::unknown);
    CHECK(answer.total == 0);
  }
}

TEST_CASE("a counter's 400, 404 and 503 promise that nothing was added, whatever the body") {
  for (const int status : {400, 404, 503}) {
    const CounterAnswer answer = net::readCounterAnswer(status, "12.5");
    CHECK(answer.outcome == CounterCallOutcome::notAdded);
    CHECK(answer.total == 0);
  }
}

TEST_CASE("any other status of a counter leaves open whether the units were added") {
  for (const int status : {201, 302, 429, 500, 502, 504})
    CHECK(net::readCounterAnswer(status, "12.5").outcome == CounterCallOutcome::unknown);
}

TEST_CASE("a counter call without an answer was certainly not added only if it was never written") {
  CHECK(net::outcomeWithoutAnswer(CallDelivery::neverWritten) == CounterCallOutcome::notAdded);
  CHECK(net::outcomeWithoutAnswer(CallDelivery::maybeWritten) == CounterCallOutcome::unknown);
}
