#include <catch2/catch.hpp>

#include "policy/host_selection.hpp"
#include "policy/host_statistics.hpp"
#include "policy/load_shedding.hpp"
#include "policy/outlier_detection.hpp"
#include "policy/reported_load.hpp"
#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"
#include "policy_fixture.hpp"

using namespace merlinbridge;
using namespace merlinbridge::policy;
using namespace merlinbridge::policy::testing;

namespace {

/// The usable part of a load report with these values.
UsableLoad makeLoad(double inFlight, std::optional<double> queued, double responsesPerSecond) {
  LoadReport report;
  report.inFlight = inFlight;
  report.queued = queued;
  report.responsesPerSecond = responsesPerSecond;
  return usableLoad(report).value();
}

/// The engine's components for hosts, connected as in the engine.
struct HostsFixture : Fixture {
  explicit HostsFixture(std::uint32_t count, const PolicySettings& settings = makeSettings())
      : Fixture(settings) {
    for (std::uint32_t host = 0; host < count; ++host) announce(servingHost(host));
  }
  /// Passes an update to the components in the same order as the engine.
  void announce(const HostUpdate& update) {
    const bool needsReset = hosts.update(update);
    statistics.add(update.host);
    outliers.add(update.host);
    slowStart.add(update.host);
    selection.add(update.host);
    if (!needsReset) return;
    statistics.reset(update.host);
    outliers.reset(update.host);
    selection.reset(update.host);
  }
  /// The host responds to `count` requests, one per interval.
  void answerRequests(std::uint32_t host, int count, Duration interval, Duration duration = 20ms) {
    for (int i = 0; i < count; ++i) {
      advanceTime(interval);
      statistics.attemptStarted({host});
      statistics.attemptEnded({host});
      statistics.recordOutcome(makeRequest(), makeResult(host, Outcome::ok, duration));
      slowStart.recordResponse({host}, 1);
    }
  }
  std::optional<HostId> select(double units = 1) {
    return selection.select(makeRequest(0, 0, units), [](HostId) { return true; });
  }

  util::HostTable hosts;
  HostStatistics statistics{context};
  OutlierDetection outliers{context};
  SlowStart slowStart{context, hosts};
  HostSelection selection{context, hosts, statistics, outliers, slowStart};
  LoadShedding shedding{context, hosts, statistics, outliers};
};

constexpr HostId kFirst{0};
constexpr HostId kSecond{1};

}  // namespace

TEST_CASE("host statistics: a host's capacity depends on its response rate and has a lower bound") {
  HostsFixture fixture(2);
  const Method& method = fixture.context.settings.methods[0];
  const double unseen = fixture.statistics.capacity(kFirst, method);
  CHECK(unseen == Approx(5));
  fixture.answerRequests(0, 6000, 5ms);  // 200 per second, for several time constants
  CHECK(fixture.statistics.capacity(kFirst, method) == Approx(200 * 0.1 + 2).epsilon(0.05));
  CHECK(fixture.statistics.capacity(kSecond, method) == unseen);
  fixture.statistics.reset(kFirst);
  CHECK(fixture.statistics.capacity(kFirst, method) == unseen);
}

TEST_CASE(
    "host statistics: a host that fails one method or plan has a lower success fraction for it for a while") {
  HostsFixture fixture(1);
  for (int i = 0; i < 5; ++i) fixture.statistics.recordOutcome(makeRequest(1), makeResult(0, Outcome::error));
  CHECK(fixture.statistics.successFraction(kFirst, MethodId{1}, PlanId{0}) < 0.01);
  CHECK(fixture.statistics.successFraction(kFirst, MethodId{0}, PlanId{0}) == 1);
  for (int i = 0; i < 5; ++i)
    fixture.statistics.recordOutcome(makeRequest(0, 2), makeResult(0, Outcome::rejected));
  CHECK(fixture.statistics.successFraction(kFirst, MethodId{0}, PlanId{2}) < 0.01);
  CHECK(fixture.statistics.successFraction(kFirst, MethodId{0}, PlanId{0}) == 1);
  fixture.advanceTime(200s);
  CHECK(fixture.statistics.successFraction(kFirst, MethodId{1}, PlanId{0}) > 0.9);
}

TEST_CASE(
    "host statistics: a silent host is unresponsive after 5 mean latencies, its attempts overdue after 10") {
  HostsFixture fixture(1);
  fixture.answerRequests(0, 100, 20ms, 20ms);
  fixture.statistics.attemptStarted(kFirst);
  const TimePoint startedAt = fixture.context.now;
  CHECK(fixture.statistics.inFlight() == 1);
  fixture.advanceTime(99ms);
  CHECK_FALSE(fixture.statistics.unresponsive(kFirst));
  fixture.advanceTime(2ms);
  CHECK(fixture.statistics.unresponsive(kFirst));
  CHECK_FALSE(fixture.statistics.overdue(kFirst, startedAt));
  fixture.advanceTime(100ms);
  CHECK(fixture.statistics.overdue(kFirst, startedAt));
  CHECK_FALSE(fixture.statistics.overdue(kFirst, fixture.context.now - 90ms));
  fixture.statistics.attemptEnded(kFirst);
  CHECK_FALSE(fixture.statistics.unresponsive(kFirst));  // no attempt is in flight
}

TEST_CASE("host statistics: a host's relative speed is the mean latency divided by its own latency") {
  HostsFixture fixture(2);
  CHECK(fixture.statistics.relativeSpeed(kFirst) == 1);
  for (int i = 0; i < 200; ++i) {
    fixture.answerRequests(0, 1, 5ms, 10ms);
    fixture.answerRequests(1, 1, 5ms, 40ms);
  }
  CHECK(fixture.statistics.relativeSpeed(kFirst) > 2);
  CHECK(fixture.statistics.relativeSpeed(kSecond) < 1);
}

TEST_CASE(
    "outlier detection: each consecutive failure doubles an unreachable host's ejection, up to a limit") {
  HostsFixture fixture(1);
  const auto ejectionTime = [&fixture] {
    fixture.outliers.recordUnreachable(kFirst);
    Duration time{0};
    for (; fixture.outliers.ejected(kFirst); fixture.advanceTime(50ms)) time += 50ms;
    return time;
  };
  for (int failure = 0; failure < 8; ++failure) {
    const double factor = seconds(ejectionTime()) / std::min(32.0, std::exp2(failure));
    INFO("failure " << failure);
    CHECK(factor >= 0.5);  // seconds; four connect timeouts are 1 s
    CHECK(factor <= 1.6);
  }
  fixture.outliers.recordResponse(kFirst);
  CHECK(ejectionTime() <= 1600ms);
  fixture.outliers.recordUnreachable(kFirst);
  fixture.outliers.reset(kFirst);
  CHECK_FALSE(fixture.outliers.ejected(kFirst));
}

TEST_CASE("outlier detection: a host that reports a long queue is ejected until it has processed the queue") {
  HostsFixture fixture(1);
  const Method& method = fixture.context.settings.methods[0];
  fixture.outliers.recordLoad(kFirst, makeLoad(4, 1, 10), method);  // processed within the soft deadline
  CHECK_FALSE(fixture.outliers.ejected(kFirst));
  fixture.outliers.recordLoad(kFirst, makeLoad(30, 0, 10), method);  // no queue
  CHECK_FALSE(fixture.outliers.ejected(kFirst));
  fixture.outliers.recordLoad(kFirst, makeLoad(30, 20, 10), method);
  fixture.advanceTime(2900ms);
  CHECK(fixture.outliers.ejected(kFirst));
  fixture.advanceTime(200ms);
  CHECK_FALSE(fixture.outliers.ejected(kFirst));
}

TEST_CASE("slow start: the ramp factor rises from the start capacity to 1, and is 1 without a start time") {
  HostsFixture fixture(1);
  CHECK(fixture.slowStart.rampFactor(kFirst) == 1);
  CHECK(fixture.slowStart.admits(kFirst, 1e6));
  fixture.announce(servingHost(1, kStart));
  CHECK(fixture.slowStart.rampFactor(kSecond) == Approx(0.2));
  fixture.advanceTime(5s);
  CHECK(fixture.slowStart.rampFactor(kSecond) == Approx(0.6));
  fixture.advanceTime(5s);
  CHECK_FALSE(fixture.slowStart.inSlowStart(kSecond));
}

TEST_CASE("slow start: a host in slow start is sent no more than its budget, and unused budget expires") {
  HostsFixture fixture(1);
  fixture.answerRequests(0, 500, 20ms);  // a ramped-up host answers 50 per second
  fixture.slowStart.countRampedUpHosts();
  fixture.announce(servingHost(1, fixture.context.now));
  const auto sendUntilRejected = [&fixture] {
    int count = 0;
    for (; fixture.slowStart.admits(kSecond, 1); ++count) fixture.slowStart.spend(kSecond, 1);
    return count;
  };
  const int first = sendUntilRejected();
  CHECK(first >= 10);
  CHECK(first <= 3 * 0.2 * 50 * 2 * 0.8 / 2 + 1);  // multiple, ramp factor, rate, window, safety factor, half
  CHECK(sendUntilRejected() == 0);
  fixture.advanceTime(1s);  // the next half of the window
  const int second = sendUntilRejected();
  CHECK(second >= 10);
  fixture.advanceTime(3s);
  CHECK(sendUntilRejected() < 2 * second);  // the budgets of unused halves do not accumulate
}

TEST_CASE("host selection: a slow host is selected less often than a fast one") {
  HostsFixture fixture(2);
  for (int i = 0; i < 200; ++i) {
    fixture.answerRequests(0, 1, 5ms, 10ms);
    fixture.answerRequests(1, 1, 5ms, 40ms);
  }
  int selections[2] = {};
  for (int i = 0; i < 340; ++i) ++selections[fixture.select()->value];
  CHECK(selections[0] > 10 * selections[1]);  // weights are squared speeds, between 1/4 and 4
  CHECK(selections[1] > 10);
}

TEST_CASE(
    "host selection: a host that is draining, ejected, full, unresponsive or filtered out is not selected") {
  HostsFixture fixture(2);
  HostUpdate draining = servingHost(0);
  draining.serving = false;
  SECTION("draining") {
    fixture.announce(draining);
  }
  SECTION("ejected") {
    fixture.outliers.recordUnreachable(kFirst);
  }
  SECTION("full") {
    for (int i = 0; i < 5; ++i) fixture.statistics.attemptStarted(kFirst);
  }
  SECTION("unresponsive") {
    fixture.answerRequests(0, 10, 10ms);
    fixture.statistics.attemptStarted(kFirst);
    fixture.advanceTime(1s);
  }
  for (int i = 0; i < 10; ++i) CHECK(fixture.select() == kSecond);
  const auto onlyFirst = [](HostId host) { return host == kFirst; };
  CHECK_FALSE(fixture.selection.select(makeRequest(), onlyFirst));
}

TEST_CASE("host selection: a host without slow-start budget is not selected until its next budget") {
  HostsFixture fixture(1);
  fixture.announce(servingHost(1, kStart));
  int selectedInSlowStart = 0;
  for (int i = 0; i < 10; ++i) {
    const auto host = fixture.select(4);
    REQUIRE(host);
    if (*host == kSecond) {
      ++selectedInSlowStart;
      fixture.slowStart.spend(kSecond, 4);
    }
  }
  CHECK(selectedInSlowStart <= 1);  // all gateways together may send it 1.5 requests
}

TEST_CASE("load shedding: the lowest priority is rejected first, and load reports are taken into account") {
  HostsFixture fixture(1);
  const Request lowPriority = makeRequest(0, 0);
  const Request highPriority = makeRequest(1, 2);
  CHECK(fixture.shedding.admits(lowPriority));
  for (int i = 0; i < 4; ++i) fixture.statistics.attemptStarted(kFirst);  // of a capacity of 5
  CHECK_FALSE(fixture.shedding.admits(lowPriority));
  CHECK(fixture.shedding.admits(highPriority));
  fixture.statistics.attemptStarted(kFirst);
  CHECK_FALSE(fixture.shedding.admits(highPriority));
  for (int i = 0; i < 5; ++i) fixture.statistics.attemptEnded(kFirst);
  CHECK(fixture.shedding.admits(lowPriority));
  for (int i = 0; i < 5; ++i)
    fixture.shedding.recordLoad(makeLoad(100, {}, 10), fixture.context.settings.methods[0]);
  CHECK_FALSE(fixture.shedding.admits(lowPriority));
}

TEST_CASE("load shedding: its start is reported once, its end after a time without rejections") {
  HostsFixture fixture(1);
  fixture.shedding.recordShed();
  fixture.shedding.recordShed();
  REQUIRE(fixture.sink.events.size() == 1);
  CHECK(fixture.shedding.active());
  fixture.advanceTime(5s);
  fixture.shedding.sweep();
  CHECK(fixture.sink.events.size() == 1);
  fixture.advanceTime(6s);
  fixture.shedding.sweep();
  CHECK(fixture.sink.events.size() == 2);
  CHECK_FALSE(fixture.shedding.active());
}

namespace {

enum class IdempotencyKey { present, missing };

/// Two hosts in one zone and a third in another.
constexpr util::DeduplicationDomain kFirstDomain{{1}, {}};  // of the first two hosts

struct RetryFixture : HostsFixture {
  RetryFixture() : HostsFixture(0) {
    announce(servingHost(0, {}, 1));
    announce(servingHost(1, {}, 1));
    announce(servingHost(2, {}, 2));
    for (std::uint32_t host = 0; host < 3; ++host) identity.add({host});
  }
  /// A request whose first attempt, at the first host, has ended with that outcome.
  RequestInFlight request(std::uint32_t method, Outcome outcome,
                          IdempotencyKey key = IdempotencyKey::present) const {
    RequestInFlight request{makeRequest(method), kStart, nullptr};
    request.request.hasIdempotencyKey = key == IdempotencyKey::present;
    request.attempts.emplace_back(kFirst, kStart, kFirstDomain);
    request.attempts.back().end(outcome);
    return request;
  }
  HostIdentity identity{context};
  RetryPolicy retries{context, hosts, identity};
};

constexpr HostId kThird{2};

}  // namespace

TEST_CASE(
    "retry policy: after an attempt that may have run, only hosts that recognize the repeat are allowed") {
  RetryFixture fixture;
  CHECK(fixture.retries.allowsHost(fixture.request(0, Outcome::lost), kThird));
  CHECK(fixture.retries.allowsHost(fixture.request(1, Outcome::lost), kThird));
  CHECK_FALSE(fixture.retries.allowsHost(fixture.request(1, Outcome::lost, IdempotencyKey::missing),
                                         kThird));  // no key
  CHECK(fixture.retries.allowsHost(fixture.request(2, Outcome::lost), kSecond));
  CHECK_FALSE(fixture.retries.allowsHost(fixture.request(2, Outcome::lost), kThird));  // another zone
  CHECK_FALSE(fixture.retries.allowsHost(fixture.request(3, Outcome::lost), kSecond));
  CHECK(fixture.retries.allowsHost(fixture.request(3, Outcome::rejected), kSecond));
  CHECK(fixture.retries.allowsHost(fixture.request(3, Outcome::noConnection), kSecond));
  fixture.advanceTime(100ms);  // the deduplication window of method 2 is over
  CHECK_FALSE(fixture.retries.allowsHost(fixture.request(2, Outcome::lost), kSecond));
  CHECK(fixture.retries.allowsHost(fixture.request(1, Outcome::lost), kSecond));
}

TEST_CASE("retry policy: no repeat goes to a host at whose address another process may answer") {
  RetryFixture fixture;
  fixture.identity.recordBroken(kSecond);
  CHECK_FALSE(fixture.retries.allowsHost(fixture.request(2, Outcome::lost), kSecond));  // recognized by zone
  CHECK(fixture.retries.allowsHost(fixture.request(1, Outcome::lost), kSecond));  // recognized by all hosts
  CHECK(fixture.retries.allowsHost(fixture.request(0, Outcome::lost), kSecond));
  CHECK(fixture.retries.allowsHost(fixture.request(2, Outcome::rejected), kSecond));  // the first did not run
  fixture.identity.reset(kSecond);                                                    // announced anew
  CHECK(fixture.retries.allowsHost(fixture.request(2, Outcome::lost), kSecond));
}

TEST_CASE(
    "retry policy: a repeat goes by the zone that the host of the attempt had then, not by its present one") {
  RetryFixture fixture;
  const RequestInFlight request = fixture.request(2, Outcome::lost);
  fixture.announce(servingHost(0, kStart, 2));  // restarted in another zone
  CHECK_FALSE(fixture.retries.allowsHost(request, kThird));
  CHECK(fixture.retries.allowsHost(request, kSecond));
}

TEST_CASE(
    "host identity: it is uncertain after a broken connection until a change would have been announced") {
  HostsFixture fixture(1);
  HostIdentity identity(fixture.context);
  identity.add(kFirst);
  CHECK(identity.isCertain(kFirst));
  identity.recordBroken(kFirst);
  fixture.advanceTime(5999ms);
  CHECK_FALSE(identity.isCertain(kFirst));
  fixture.advanceTime(1ms);
  CHECK(identity.isCertain(kFirst));
}

TEST_CASE("retry policy: a repeat must be written while the hosts still recognize the first attempt") {
  RetryFixture fixture;
  RequestInFlight request = fixture.request(1, Outcome::lost);
  CHECK(fixture.retries.writeDeadline(request) == TimePoint::max());  // no earlier attempt
  request.attempts.emplace_back(kSecond, kStart + 1s, kFirstDomain);
  CHECK(fixture.retries.writeDeadline(request) == kStart + 2s);
  RequestInFlight notRun = fixture.request(1, Outcome::rejected);
  notRun.attempts.emplace_back(kSecond, kStart + 1s, kFirstDomain);
  CHECK(fixture.retries.writeDeadline(notRun) == TimePoint::max());
}

TEST_CASE("retry policy: retries are limited by number, time, and a budget that first attempts replenish") {
  RetryFixture fixture;
  RequestInFlight request = fixture.request(0, Outcome::error);
  CHECK(fixture.retries.allowsRetry(request));
  request.attempts.resize(3, Attempt(kFirst, kStart, kFirstDomain));
  CHECK_FALSE(fixture.retries.allowsRetry(request));  // three attempts at most
  request.attempts.resize(1, Attempt(kFirst, kStart, kFirstDomain));
  for (int i = 0; i < 10; ++i) fixture.retries.attemptStarted(RetryPolicy::AttemptKind::further);
  CHECK_FALSE(fixture.retries.allowsRetry(request));
  for (int i = 0; i < 11; ++i) fixture.retries.attemptStarted(RetryPolicy::AttemptKind::first);
  CHECK(fixture.retries.allowsRetry(request));
  CHECK(fixture.retries.allowsHedge(request));
  CHECK_FALSE(fixture.retries.allowsHedge(fixture.request(3, Outcome::lost)));
  fixture.advanceTime(500ms);  // the soft deadline
  CHECK_FALSE(fixture.retries.allowsRetry(request));
}

TEST_CASE("retry policy: a failed request is rejected only if its client may safely retry it") {
  RetryFixture fixture;
  CHECK(fixture.retries.clientMayRetry(fixture.request(0, Outcome::lost)));
  CHECK(fixture.retries.clientMayRetry(fixture.request(1, Outcome::lost)));
  CHECK_FALSE(fixture.retries.clientMayRetry(fixture.request(1, Outcome::lost, IdempotencyKey::missing)));
  CHECK_FALSE(fixture.retries.clientMayRetry(fixture.request(2, Outcome::lost)));
  CHECK_FALSE(fixture.retries.clientMayRetry(fixture.request(3, Outcome::lost)));
  CHECK(fixture.retries.clientMayRetry(fixture.request(3, Outcome::rejected)));
}
