#include "policy/counter_exchange.hpp"

#include <catch2/catch.hpp>

#include "policy_fixture.hpp"

using namespace merlinbridge;
using namespace merlinbridge::policy;
using namespace merlinbridge::policy::testing;

namespace {

constexpr double kGateways = 1;  // that receive a customer's requests

/// The exchange with the counter service, and customers by id.
struct ExchangeFixture : Fixture {
  explicit ExchangeFixture(const PolicySettings& settings = makeSettings())
      : Fixture(settings), exchange(context) {}

  CustomerState& addCustomer(std::uint64_t id, std::uint32_t plan = 0) {
    const auto added =
        customers.try_emplace(id, CustomerId{id}, context.settings.plans[plan], kGateways, context);
    return added.first->second;
  }
  /// A request of one unit arrives and is admitted.
  void request(CustomerState& customer) {
    exchange.refill(customer);
    exchange.scheduleCall(customer);
    customer.bucket.spend(1);
  }
  /// Ends the last call.
  void endCall(CounterCallOutcome outcome = CounterCallOutcome::ok, Duration duration = 1ms) {
    const auto call = sink.calls.back();
    exchange.callEnded(call.key, outcome, call.units, duration);
  }
  std::map<std::uint64_t, CustomerState> customers;
  CounterExchange exchange;
};

}  // namespace

TEST_CASE("counter exchange: a customer has one call per round, with the units since the last call") {
  ExchangeFixture fixture;
  CustomerState& customer = fixture.addCustomer(5);
  fixture.request(customer);
  REQUIRE(fixture.sink.calls.size() == 1);
  CHECK(fixture.sink.calls[0].units == 0);  // the call started before the first unit was spent
  fixture.request(customer);
  CHECK(fixture.sink.calls.size() == 1);
  fixture.endCall();
  fixture.fireTimers();
  CHECK(fixture.sink.calls.size() == 1);  // the round is not over
  fixture.advanceTime(100ms);
  fixture.fireTimers();
  REQUIRE(fixture.sink.calls.size() == 2);
  CHECK(fixture.sink.calls[1].units == 2);
  CHECK_FALSE(CounterExchange::idle(customer));
  fixture.endCall();
  CHECK(CounterExchange::idle(customer));
}

TEST_CASE(
    "counter exchange: no call is made without a counter service, nor for a plan without a counted limit") {
  PolicySettings settings = makeSettings();
  settings.plans.push_back({});
  ExchangeFixture uncounted(settings);
  uncounted.request(uncounted.addCustomer(5, 3));
  CHECK(uncounted.sink.calls.empty());
  settings.hasCounter = false;
  ExchangeFixture withoutCounter(settings);
  withoutCounter.request(withoutCounter.addCustomer(5));
  CHECK(withoutCounter.sink.calls.empty());
}

TEST_CASE("counter exchange: the units of a failed call are added with the next call") {
  ExchangeFixture fixture;
  CustomerState& customer = fixture.addCustomer(5);
  fixture.request(customer);
  fixture.endCall();
  fixture.advanceTime(100ms);
  fixture.request(customer);
  REQUIRE(fixture.sink.calls.size() == 2);
  CHECK(fixture.sink.calls[1].units == 1);
  fixture.endCall(CounterCallOutcome::unknown, 50ms);
  fixture.advanceTime(100ms);
  fixture.fireTimers();
  REQUIRE(fixture.sink.calls.size() == 3);
  CHECK(fixture.sink.calls[2].units == 2);
}

TEST_CASE("counter exchange: after three failed rounds all quotas are divided, and this is reported once") {
  ExchangeFixture fixture;
  CustomerState& active = fixture.addCustomer(5);
  CustomerState& other = fixture.addCustomer(6);
  fixture.request(other);
  fixture.endCall();
  fixture.advanceTime(100ms);
  fixture.request(active);
  for (int round = 0; round < 4; ++round) {
    fixture.endCall(CounterCallOutcome::unknown, 50ms);
    fixture.advanceTime(101ms);
    fixture.fireTimers();
  }
  CHECK(active.bucket.isDivided());
  fixture.exchange.refill(other);
  CHECK(other.bucket.isDivided());  // although none of its own calls failed
  REQUIRE(fixture.sink.events.size() == 1);
  CHECK(fixture.sink.events[0] == EngineEvent::counterUnreachable);
}

TEST_CASE("counter exchange: late responses reduce the call rate, quick responses raise it again") {
  ExchangeFixture fixture;
  std::uint64_t id = 100;
  const auto callsIn = [&](int steps, CounterCallOutcome outcome, Duration duration) {
    const std::size_t before = fixture.sink.calls.size();
    for (int step = 0; step < steps; ++step) {
      const std::size_t seen = fixture.sink.calls.size();
      fixture.request(fixture.addCustomer(++id));
      fixture.advanceTime(10ms);
      fixture.fireTimers();
      for (std::size_t index = seen; index < fixture.sink.calls.size(); ++index) {
        const auto call = fixture.sink.calls[index];
        fixture.exchange.callEnded(call.key, outcome, call.units, duration);
      }
    }
    return fixture.sink.calls.size() - before;
  };
  const auto callsWhileQuick = callsIn(200, CounterCallOutcome::ok, 1ms);
  callsIn(200, CounterCallOutcome::unknown, 50ms);
  const auto callsWhileLate = callsIn(200, CounterCallOutcome::unknown, 50ms);
  CHECK(callsWhileQuick >= 190);
  CHECK(callsWhileLate < callsWhileQuick / 4);
  callsIn(600, CounterCallOutcome::ok, 1ms);
  CHECK(callsIn(200, CounterCallOutcome::ok, 1ms) > callsWhileQuick / 2);
}
