#include <catch2/catch.hpp>

#include "policy/customer_table.hpp"
#include "policy/reported_load.hpp"
#include "policy/request_table.hpp"
#include "policy_fixture.hpp"

using namespace merlinbridge;
using namespace merlinbridge::policy;
using namespace merlinbridge::policy::testing;

namespace {

constexpr HostId kHost{0};

/// A request table with one customer, whose limits do not matter for these tests.
struct RequestsFixture : Fixture {
  RequestInFlight& add(std::uint64_t id) {
    Request request = makeRequest();
    request.requestId = {id};
    return requests.add(request, context.now, customer);
  }
  void startAttempt(RequestInFlight& request) {
    request.attempts.emplace_back(kHost, context.now);
    requests.attemptStarted(request);
  }
  /// Runs a sweep whose check returns `result` for each attempt. Returns the ids of the checked requests in
  /// order.
  std::vector<std::uint64_t> sweep(RequestTable::CheckResult result) {
    std::vector<std::uint64_t> checked;
    requests.sweepAttempts([&](RequestInFlight& request, AttemptNumber) {
      checked.push_back(request.request.requestId.value);
      return result;
    });
    return checked;
  }

  CustomerState customer{CustomerId{5}, context.settings.plans[0], 1, context};
  RequestTable requests;
};

using Ids = std::vector<std::uint64_t>;

}  // namespace

TEST_CASE(
    "attempt: it may take effect while in flight, and after an outcome that does not rule out execution") {
  Attempt attempt(kHost, kStart);
  CHECK(attempt.inFlight());
  CHECK(attempt.mayTakeEffect());
  const auto mayTakeEffectAfter = [](Outcome outcome) {
    Attempt ended(kHost, kStart);
    ended.end(outcome);
    CHECK_FALSE(ended.inFlight());
    return ended.mayTakeEffect();
  };
  CHECK(mayTakeEffectAfter(Outcome::ok));
  CHECK(mayTakeEffectAfter(Outcome::error));
  CHECK(mayTakeEffectAfter(Outcome::noResponse));
  CHECK(mayTakeEffectAfter(Outcome::lost));
  CHECK(mayTakeEffectAfter(Outcome::cancelled));
  CHECK_FALSE(mayTakeEffectAfter(Outcome::rejected));
  CHECK_FALSE(mayTakeEffectAfter(Outcome::noConnection));
  CHECK_FALSE(mayTakeEffectAfter(Outcome::notSent));
}

TEST_CASE("request table: a request is found until it is removed") {
  RequestsFixture fixture;
  RequestInFlight& first = fixture.add(1);
  CHECK(fixture.requests.find({1}) == &first);
  CHECK(fixture.requests.find({2}) == nullptr);
  fixture.requests.remove({1});
  CHECK(fixture.requests.find({1}) == nullptr);
}

TEST_CASE("request table: a sweep checks attempts in flight in the order in which they started") {
  RequestsFixture fixture;
  RequestInFlight& first = fixture.add(1);
  RequestInFlight& second = fixture.add(2);
  fixture.startAttempt(second);
  fixture.startAttempt(first);
  CHECK(fixture.sweep(RequestTable::CheckResult::again) == Ids{2, 1});
  second.attempts[0].end(Outcome::lost);
  CHECK(fixture.sweep(RequestTable::CheckResult::again) == Ids{1});
  fixture.startAttempt(second);
  CHECK(fixture.sweep(RequestTable::CheckResult::again) == Ids{1, 2});
  fixture.requests.remove({1});
  CHECK(fixture.sweep(RequestTable::CheckResult::done) == Ids{2});
  CHECK(fixture.sweep(RequestTable::CheckResult::done).empty());
}

TEST_CASE("request table: an attempt that a sweep starts is first checked at the next sweep") {
  RequestsFixture fixture;
  fixture.startAttempt(fixture.add(1));
  int checks = 0;
  fixture.requests.sweepAttempts([&](RequestInFlight& request, AttemptNumber) {
    ++checks;
    fixture.startAttempt(request);
    return RequestTable::CheckResult::done;
  });
  CHECK(checks == 1);
  CHECK(fixture.sweep(RequestTable::CheckResult::done) == Ids{1});
}

TEST_CASE("customer table: a customer is kept while in use and removed after the retention time of a count") {
  Fixture fixture;
  CustomerTable customers(fixture.context);
  CustomerState& customer = *customers.findOrCreate(makeRequest());
  customer.bucket.spend(12);
  const auto isKept = [&] {
    return !customers.findOrCreate(makeRequest())
                ->bucket.admits(fixture.context.now, 12, fixture.context.random);
  };
  CHECK(isKept());
  customer.concurrency.attemptStarted();
  fixture.advanceTime(31s);
  customers.sweep();
  CHECK(isKept());  // also records a request of the customer
  customer.concurrency.attemptEnded();
  fixture.advanceTime(29s);
  customers.sweep();
  CHECK(isKept());
  fixture.advanceTime(31s);
  customers.sweep();
  CHECK_FALSE(isKept());
}

TEST_CASE("reported load: a report without the requests in flight or the response rate is not used") {
  LoadReport report;
  CHECK_FALSE(usableLoad(report));
  report.inFlight = 3;
  CHECK_FALSE(usableLoad(report));
  report.responsesPerSecond = 0;
  REQUIRE(usableLoad(report));
  CHECK(usableLoad(report)->inFlight == 3);
  CHECK(usableLoad(report)->queued == 0);
  CHECK(usableLoad(report)->responsesPerSecond > 0);  // it is a divisor
  report.responsesPerSecond.reset();
  CHECK_FALSE(usableLoad(report));
}
