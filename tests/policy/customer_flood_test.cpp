/// \file
/// Floods of requests that name made-up customers: what the engine keeps of them, and what they cost the
/// other customers. Any client can name any customer, so neither may grow with the number of names.
#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "policy/count_slot.hpp"
#include "policy_fixture.hpp"
#include "support/heap_usage.hpp"

using namespace merlinbridge;
using namespace merlinbridge::policy::testing;
using merlinbridge::testing::allocatedBytes;

namespace {

/// The smallest memory limit of a gateway. Memory above half of it has a price.
constexpr std::size_t kSmallestMemoryLimit = 32 * 1024 * 1024;

constexpr std::uint64_t kKnownCustomer = 5;
constexpr std::uint32_t kGateways = 4;
constexpr std::uint32_t kQuotaPlan = 0;
constexpr std::uint32_t kCeilingPlan = 2;

/// Records the result with which an attempt is to end, and which counter calls are made.
struct FloodSink final : DecisionSink {
  void startAttempt(RequestId id, HostId host, AttemptDeadline) override {
    started = makeResult(host.value, Outcome::cancelled);
    started->requestId = id;
  }
  void cancel(RequestId, AttemptNumber) override {}
  void reject(RequestId, Duration) override {}
  void fail(RequestId) override {}
  void addToCounter(const CounterKey& key, double, Duration) override {
    callsOfKnownCustomer += key.customer == CustomerId{kKnownCustomer};
    pendingCalls.push_back(key);
  }
  void setTimer(TimePoint at, TimerId id) override { timers.emplace(at, id); }
  void report(EngineEvent) override {}

  std::optional<AttemptResult> started;
  std::vector<CounterKey> pendingCalls;
  std::multimap<TimePoint, TimerId> timers;
  int callsOfKnownCustomer = 0;
};

/// An engine whose attempts end at once, and whose counter service answers each call at once or never.
struct FloodFixture {
  explicit FloodFixture(std::uint32_t hosts, PolicySettings settings = makeSettings(kGateways))
      : engine(std::move(settings), 7, kStart, sink) {
    std::vector<HostUpdate> updates;
    for (std::uint32_t host = 0; host < hosts; ++host) updates.push_back(servingHost(host));
    engine.allHostsUpdated(now, updates);
  }
  /// Returns whether the request was admitted.
  bool request(std::uint64_t customer, std::uint32_t plan, double units = 1) {
    Request arriving = makeRequest(0, plan, units);
    arriving.requestId = {++lastRequest};
    arriving.customer = {customer};
    arriving.gateways = kGateways;
    arriving.deadline = now + 2s;
    sink.started.reset();
    engine.requestArrived(now, arriving);
    const bool admitted = sink.started.has_value();
    if (admitted) endAttempt();
    return admitted;
  }
  void endAttempt() {
    const AttemptResult ended = *sink.started;
    engine.attemptEnded(now, ended);
  }
  /// No host serves any more, so that each request is rejected.
  void stopHosts() { engine.allHostsUpdated(now, {}); }
  /// Moves the clock and fires the timers that are due on the way.
  void advance(Duration duration) {
    const TimePoint end = now + duration;
    while (!sink.timers.empty() && sink.timers.begin()->first <= end) {
      const auto timer = *sink.timers.begin();
      sink.timers.erase(sink.timers.begin());
      now = timer.first;
      engine.timerFired(now, timer.second);
      answerCounterCalls();
    }
    now = end;
    answerCounterCalls();
  }
  void answerCounterCalls() {
    if (!counterAnswers) return;
    for (const CounterKey& key : std::exchange(sink.pendingCalls, {}))
      engine.counterCallEnded(now, key, CounterCallOutcome::ok, 0, 1ms);
  }

  FloodSink sink;
  TimePoint now = kStart;
  bool counterAnswers = false;
  std::uint64_t lastRequest = 0;
  DecisionEngine engine;
};

}  // namespace

// Guards against a gateway that grows over its memory limit because clients name ever new customers.
TEST_CASE("customer flood: rejected requests of unknown customers stay below half of the memory limit") {
  FloodFixture fixture(0);
  const std::size_t before = allocatedBytes();
  for (std::uint64_t customer = 1000; customer < 101000; ++customer) {
    CHECK_FALSE(fixture.request(customer, kQuotaPlan));
    fixture.advance(50us);
  }
  CHECK(allocatedBytes() - before <= kSmallestMemoryLimit / 2);
}

// Guards against a customer whose usage the other gateways learn late because made-up customers queue before
// it.
TEST_CASE("customer flood: the usage of a known customer reaches the counter service within its time slot") {
  FloodFixture fixture(1);
  fixture.counterAnswers = true;
  REQUIRE(fixture.request(kKnownCustomer, kQuotaPlan));
  fixture.advance(100ms);
  fixture.stopHosts();
  for (std::uint64_t customer = 1000; customer < 21000; ++customer) {
    fixture.request(customer, kQuotaPlan);
    fixture.advance(50us);
  }
  const int callsBefore = fixture.sink.callsOfKnownCustomer;
  fixture.request(kKnownCustomer, kQuotaPlan);
  fixture.advance(policy::slotLength());
  CHECK(fixture.sink.callsOfKnownCustomer > callsBefore);
}

// Guards against the same growth if the requests are admitted and reach a host.
TEST_CASE("customer flood: admitted requests of unknown customers stay below half of the memory limit") {
  FloodFixture fixture(1);
  fixture.counterAnswers = GENERATE(true, false);
  const std::size_t before = allocatedBytes();
  std::size_t most = before;
  int admitted = 0;
  for (std::uint64_t customer = 1000; customer < 61000; ++customer) {
    admitted += fixture.request(customer, kQuotaPlan);
    fixture.advance(100us);
    most = std::max(most, allocatedBytes());
  }
  CHECK(most - before <= kSmallestMemoryLimit / 2);
  CHECK(admitted > 30000);  // the flood does not lock new customers out
}

// Guards against a ceiling that is full again because the table has dropped the customer's state.
TEST_CASE("customer flood: a customer's hard ceiling holds while the table drops other customers") {
  FloodFixture fixture(1);
  fixture.advance(10s);  // ceilings start at their lowest level
  double drawn = 0;
  const TimePoint start = fixture.now;
  for (std::uint64_t customer = 1000; customer < 61000; ++customer) {
    fixture.request(customer, kQuotaPlan);
    if (customer % 10 == 0) drawn += fixture.request(kKnownCustomer, kCeilingPlan);
    fixture.advance(100us);
  }
  const Plan plan = makeSettings().plans[kCeilingPlan];
  const double seconds = std::chrono::duration<double>(fixture.now - start).count();
  CHECK(drawn > 0);
  CHECK(drawn <= (plan.ceilingBurst + plan.ceilingSlack + plan.ceilingRate * seconds) / kGateways);
}

// Guards against the same: the state was removed after a fixed time, however slowly the ceiling refills.
TEST_CASE("customer flood: an idle customer's hard ceiling is kept until it is full again") {
  PolicySettings settings = makeSettings(1);
  Plan& plan = settings.plans[kCeilingPlan];
  plan = {.ceilingRate = 0.5, .ceilingBurst = 60, .ceilingSlack = 8};
  FloodFixture fixture(1, settings);
  fixture.advance(200s);
  REQUIRE(fixture.request(kKnownCustomer, kCeilingPlan, 60));
  for (std::uint64_t customer = 1000; customer < 1006; ++customer) {
    fixture.advance(11s);  // a sweep runs after each request
    fixture.request(customer, kCeilingPlan);
  }
  CHECK_FALSE(
      fixture.request(kKnownCustomer, kCeilingPlan, 42));  // 66 s at 0.5 units a second, and the slack
  CHECK(fixture.request(kKnownCustomer, kCeilingPlan, 40));
}
