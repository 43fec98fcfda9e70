#include "policy/counter_health.hpp"

#include <catch2/catch.hpp>

#include "policy_fixture.hpp"

using namespace merlinbridge;
using namespace merlinbridge::policy;
using namespace merlinbridge::policy::testing;

TEST_CASE("counter health: the service is unreachable after three consecutive failures over three rounds") {
  Fixture fixture;
  CounterHealth health(fixture.context);
  CHECK(CounterHealth::roundLength(fixture.context.settings) == 100ms);
  for (int i = 0; i < 3; ++i) health.recordCall(CounterCallOutcome::unknown);
  fixture.advanceTime(300ms);
  CHECK_FALSE(health.unreachable());  // three rounds are not over
  fixture.advanceTime(1ms);
  CHECK(health.unreachable());
  CHECK(fixture.sink.events.empty());  // reported with the next call
  health.recordCall(CounterCallOutcome::notAdded);
  CHECK(fixture.sink.events == std::vector{EngineEvent::counterUnreachable});
}

TEST_CASE("counter health: one success ends the unreachable state, which is reported after one slot length") {
  Fixture fixture;
  CounterHealth health(fixture.context);
  fixture.advanceTime(301ms);
  for (int i = 0; i < 3; ++i) health.recordCall(CounterCallOutcome::unknown);
  REQUIRE(health.unreachable());
  health.recordCall(CounterCallOutcome::ok);
  CHECK_FALSE(health.unreachable());
  CHECK(fixture.sink.events == std::vector{EngineEvent::counterUnreachable});
  fixture.advanceTime(10s);
  health.recordCall(CounterCallOutcome::ok);
  CHECK(fixture.sink.events == std::vector{EngineEvent::counterUnreachable, EngineEvent::counterRestored});
}

TEST_CASE("counter health: a customer treats the service as unreachable after three failed rounds") {
  CHECK_FALSE(CounterHealth::unreachableAfter(2));
  CHECK(CounterHealth::unreachableAfter(3));
}
