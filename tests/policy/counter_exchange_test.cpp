#include "policy/counter_exchange.hpp"

#include <catch2/catch.hpp>

#include "policy_fixture.hpp"

using namespace merlinbridge;
using namespace merlinbridge::policy;
using namespace merlinbridge::policy::testing;

namespace {

struct ExchangeFixture : Fixture {
  explicit ExchangeFixture(const PolicySettings& settings = someSettings())
      : Fixture(settings), exchange(context) {}

  CustomerState& add(std::uint64_t id, std::uint32_t plan = 0) {
    return customers
        .try_emplace(id, CustomerId{id}, context.settings.plans[plan], 1.0, 4.0,
                     CounterExchange::lookBack(context.settings), kStart, context.now)
        .first->second;
  }
  void request(CustomerState& customer) {
    exchange.refill(customer);
    exchange.schedule(customer);
    customer.bucket.spend(1);
  }
  void answer(CounterCallOutcome end = CounterCallOutcome::ok, Duration took = 1ms) {
    const auto call = sink.calls.back();
    exchange.callEnded(call.name, end, call.units, took);
  }
  std::map<std::uint64_t, CustomerState> customers;
  CounterExchange exchange;
};

}  // namespace

TEST_CASE("counter exchange: one call a round, with the units since the last one") {
  ExchangeFixture f;
  CustomerState& customer = f.add(5);
  f.request(customer);
  REQUIRE(f.sink.calls.size() == 1);
  CHECK(f.sink.calls[0].units == 0);  // asked before the first unit is spent
  f.request(customer);
  CHECK(f.sink.calls.size() == 1);
  f.answer();
  f.fireTimers();
  CHECK(f.sink.calls.size() == 1);  // the round lasts
  f.pass(100ms);
  f.fireTimers();
  REQUIRE(f.sink.calls.size() == 2);
  CHECK(f.sink.calls[1].units == 2);
  CHECK_FALSE(CounterExchange::idle(customer));
  f.answer();
  CHECK(CounterExchange::idle(customer));
}

TEST_CASE("counter exchange: no call without a counter service or for a plan that counts nothing") {
  PolicySettings settings = someSettings();
  settings.plans.push_back({});
  ExchangeFixture uncounted(settings);
  uncounted.request(uncounted.add(5, 3));
  CHECK(uncounted.sink.calls.empty());
  settings.counter = false;
  ExchangeFixture alone(settings);
  alone.request(alone.add(5));
  CHECK(alone.sink.calls.empty());
}

TEST_CASE("counter exchange: units of a failed call go with the next") {
  ExchangeFixture f;
  CustomerState& customer = f.add(5);
  f.request(customer);
  f.answer();
  f.pass(100ms);
  f.request(customer);
  REQUIRE(f.sink.calls.size() == 2);
  CHECK(f.sink.calls[1].units == 1);
  f.answer(CounterCallOutcome::unknown, 50ms);
  f.pass(100ms);
  f.fireTimers();
  REQUIRE(f.sink.calls.size() == 3);
  CHECK(f.sink.calls[2].units == 2);
}

TEST_CASE("counter exchange: after three rounds of failures all quotas are divided, and staff told once") {
  ExchangeFixture f;
  CustomerState& asked = f.add(5);
  CustomerState& other = f.add(6);
  f.request(other);
  f.answer();
  f.pass(100ms);
  f.request(asked);
  for (int round = 0; round < 4; ++round) {
    f.answer(CounterCallOutcome::unknown, 50ms);
    f.pass(101ms);
    f.fireTimers();
  }
  CHECK(asked.bucket.isDivided());
  f.exchange.refill(other);
  CHECK(other.bucket.isDivided());  // it need not find out on its own
  REQUIRE(f.sink.events.size() == 1);
  CHECK(f.sink.events[0] == EngineEvent::counterUnreachable);
}

TEST_CASE("counter exchange: late answers lower the pace, quick ones raise it again") {
  ExchangeFixture f;
  std::uint64_t id = 100;
  const auto callsIn = [&](int steps, CounterCallOutcome end, Duration took) {
    const std::size_t before = f.sink.calls.size();
    for (int step = 0; step < steps; ++step) {
      const std::size_t seen = f.sink.calls.size();
      f.request(f.add(++id));
      f.pass(10ms);
      f.fireTimers();
      for (std::size_t n = seen; n < f.sink.calls.size(); ++n)
        f.exchange.callEnded(f.sink.calls[n].name, end, f.sink.calls[n].units, took);
    }
    return f.sink.calls.size() - before;
  };
  const auto quick = callsIn(200, CounterCallOutcome::ok, 1ms);
  callsIn(200, CounterCallOutcome::unknown, 50ms);
  const auto late = callsIn(200, CounterCallOutcome::unknown, 50ms);
  CHECK(quick >= 190);
  CHECK(late < quick / 4);
  callsIn(600, CounterCallOutcome::ok, 1ms);
  CHECK(callsIn(200, CounterCallOutcome::ok, 1ms) > quick / 2);
}
