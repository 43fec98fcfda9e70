#include <catch2/catch.hpp>

#include "policy/host_selection.hpp"
#include "policy/host_statistics.hpp"
#include "policy/load_shedding.hpp"
#include "policy/outlier_detection.hpp"
#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"
#include "policy_fixture.hpp"

using namespace merlinbridge;
using namespace merlinbridge::policy;
using namespace merlinbridge::policy::testing;

namespace {

struct HostsFixture : Fixture {
  explicit HostsFixture(std::uint32_t count, const PolicySettings& settings = someSettings())
      : Fixture(settings) {
    for (std::uint32_t h = 0; h < count; ++h) announce(servingHost(h));
  }
  void announce(const HostUpdate& update) {
    const bool fresh = hosts.update(update);
    statistics.add(update.host);
    outliers.add(update.host);
    slowStart.add(update.host);
    selection.add(update.host);
    if (!fresh) return;
    statistics.reset(update.host);
    outliers.reset(update.host);
    selection.reset(update.host);
  }
  /// The host answers so many requests, one every interval.
  void answerRequests(std::uint32_t host, int count, Duration interval, Duration took = 20ms) {
    for (int i = 0; i < count; ++i) {
      pass(interval);
      statistics.attemptStarted({host});
      statistics.attemptEnded({host});
      statistics.recordOutcome(someRequest(), someResult(host, Outcome::ok, took));
      slowStart.recordAnswer({host}, 1);
    }
  }
  std::optional<HostId> select(double units = 1) {
    return selection.select(someRequest(0, 0, units), [](HostId) { return true; });
  }

  util::HostTable hosts;
  HostStatistics statistics{context};
  OutlierDetection outliers{context};
  SlowStart slowStart{context, hosts};
  HostSelection selection{context, hosts, statistics, outliers, slowStart};
  LoadShedding shedding{context, hosts, statistics, outliers};
};

constexpr HostId kFirst{0}, kSecond{1};

}  // namespace

TEST_CASE("host statistics: capacity follows what a host answers, and has a floor") {
  HostsFixture f(2);
  const Method& method = f.context.settings.methods[0];
  const double unseen = f.statistics.capacity(kFirst, method);
  CHECK(unseen == Approx(5));
  f.answerRequests(0, 6000, 5ms);  // 200 a second, for several time constants
  CHECK(f.statistics.capacity(kFirst, method) == Approx(200 * 0.1 + 2).epsilon(0.05));
  CHECK(f.statistics.capacity(kSecond, method) == unseen);
  f.statistics.reset(kFirst);
  CHECK(f.statistics.capacity(kFirst, method) == unseen);
}

TEST_CASE("host statistics: a host is trusted less with the kind of request that fails there, for a while") {
  HostsFixture f(1);
  for (int i = 0; i < 5; ++i) f.statistics.recordOutcome(someRequest(1), someResult(0, Outcome::error));
  CHECK(f.statistics.successFraction(kFirst, MethodId{1}, PlanId{0}) < 0.01);
  CHECK(f.statistics.successFraction(kFirst, MethodId{0}, PlanId{0}) == 1);
  for (int i = 0; i < 5; ++i) f.statistics.recordOutcome(someRequest(0, 2), someResult(0, Outcome::rejected));
  CHECK(f.statistics.successFraction(kFirst, MethodId{0}, PlanId{2}) < 0.01);
  CHECK(f.statistics.successFraction(kFirst, MethodId{0}, PlanId{0}) == 1);
  f.pass(200s);
  CHECK(f.statistics.successFraction(kFirst, MethodId{1}, PlanId{0}) > 0.9);
}

TEST_CASE(
    "host statistics: a host is unresponsive after five mean latencies, its attempts overdue after ten") {
  HostsFixture f(1);
  f.answerRequests(0, 100, 20ms, 20ms);
  f.statistics.attemptStarted(kFirst);
  const TimePoint startedAt = f.context.now;
  CHECK(f.statistics.inFlight() == 1);
  f.pass(99ms);
  CHECK_FALSE(f.statistics.unresponsive(kFirst));
  f.pass(2ms);
  CHECK(f.statistics.unresponsive(kFirst));
  CHECK_FALSE(f.statistics.overdue(kFirst, startedAt));
  f.pass(100ms);
  CHECK(f.statistics.overdue(kFirst, startedAt));
  CHECK_FALSE(f.statistics.overdue(kFirst, f.context.now - 90ms));
  f.statistics.attemptEnded(kFirst);
  CHECK_FALSE(f.statistics.unresponsive(kFirst));  // it owes nothing
}

TEST_CASE("host statistics: relative speed compares a host's latency with the mean") {
  HostsFixture f(2);
  CHECK(f.statistics.relativeSpeed(kFirst) == 1);
  for (int i = 0; i < 200; ++i) {
    f.answerRequests(0, 1, 5ms, 10ms);
    f.answerRequests(1, 1, 5ms, 40ms);
  }
  CHECK(f.statistics.relativeSpeed(kFirst) > 2);
  CHECK(f.statistics.relativeSpeed(kSecond) < 1);
}

TEST_CASE("outlier detection: an unreachable host is ejected twice as long each time, to a bound") {
  HostsFixture f(1);
  const auto ejectedFor = [&f] {
    f.outliers.recordUnreachable(kFirst);
    Duration time{0};
    for (; f.outliers.ejected(kFirst); f.pass(50ms)) time += 50ms;
    return time;
  };
  for (int n = 0; n < 8; ++n) {
    const double factor = seconds(ejectedFor()) / std::min(32.0, std::exp2(n));
    INFO("failure " << n);
    CHECK(factor >= 0.5);  // of four connect timeouts
    CHECK(factor <= 1.6);
  }
  f.outliers.recordAnswer(kFirst);
  CHECK(ejectedFor() <= 1600ms);
  f.outliers.recordUnreachable(kFirst);
  f.outliers.reset(kFirst);
  CHECK_FALSE(f.outliers.ejected(kFirst));
}

TEST_CASE("outlier detection: a host that reports a jam is ejected until it has worked that off") {
  HostsFixture f(1);
  const Method& method = f.context.settings.methods[0];
  f.outliers.recordLoad(kFirst, {4, 1, {}, 10, {}}, method);  // done within the soft deadline
  CHECK_FALSE(f.outliers.ejected(kFirst));
  f.outliers.recordLoad(kFirst, {30, 0, {}, 10, {}}, method);  // nothing waits
  CHECK_FALSE(f.outliers.ejected(kFirst));
  f.outliers.recordLoad(kFirst, {30, 20, {}, 10, {}}, method);
  f.pass(2900ms);
  CHECK(f.outliers.ejected(kFirst));
  f.pass(200ms);
  CHECK_FALSE(f.outliers.ejected(kFirst));
}

TEST_CASE("slow start: the ramp goes from the start capacity to 1, and hosts without a start are warm") {
  HostsFixture f(1);
  CHECK(f.slowStart.rampFactor(kFirst) == 1);
  CHECK(f.slowStart.admits(kFirst, 1e6));
  f.announce(servingHost(1, kStart));
  CHECK(f.slowStart.rampFactor(kSecond) == Approx(0.2));
  f.pass(5s);
  CHECK(f.slowStart.rampFactor(kSecond) == Approx(0.6));
  f.pass(5s);
  CHECK_FALSE(f.slowStart.warmingUp(kSecond));
}

TEST_CASE("slow start: a host that warms up gets its budget and no more, and what is left lapses") {
  HostsFixture f(1);
  f.answerRequests(0, 500, 20ms);  // a warm host carries 50 a second
  f.slowStart.countWarmHosts();
  f.announce(servingHost(1, f.context.now));
  const auto sent = [&f] {
    int count = 0;
    for (; f.slowStart.admits(kSecond, 1); ++count) f.slowStart.spend(kSecond, 1);
    return count;
  };
  const int first = sent();
  CHECK(first >= 10);
  CHECK(first <= 3 * 0.2 * 50 * 2 * 0.8 / 2 + 1);  // multiple, ramp, rate, window, safety, half
  CHECK(sent() == 0);
  f.pass(1s);  // the next half of the window
  const int second = sent();
  CHECK(second >= 10);
  f.pass(3s);
  CHECK(sent() < 2 * second);  // two halves passed unused: they do not add up
}

TEST_CASE("host selection: hosts take turns by weight, and a slow one fewer") {
  HostsFixture f(2);
  for (int i = 0; i < 200; ++i) {
    f.answerRequests(0, 1, 5ms, 10ms);
    f.answerRequests(1, 1, 5ms, 40ms);
  }
  int turns[2] = {};
  for (int i = 0; i < 340; ++i) ++turns[f.select()->value];
  CHECK(turns[0] > 10 * turns[1]);  // squares of speed, bounded by 4 and a quarter
  CHECK(turns[1] > 10);
}

TEST_CASE(
    "host selection: hosts that drain, are ejected, full, unresponsive or not allowed are passed over") {
  HostsFixture f(2);
  HostUpdate draining = servingHost(0);
  draining.serving = false;
  SECTION("drains") {
    f.announce(draining);
  }
  SECTION("ejected") {
    f.outliers.recordUnreachable(kFirst);
  }
  SECTION("full") {
    for (int i = 0; i < 5; ++i) f.statistics.attemptStarted(kFirst);
  }
  SECTION("unresponsive") {
    f.answerRequests(0, 10, 10ms);
    f.statistics.attemptStarted(kFirst);
    f.pass(1s);
  }
  for (int i = 0; i < 10; ++i) CHECK(f.select() == kSecond);
  const auto none = [](HostId host) { return host == kFirst; };
  CHECK_FALSE(f.selection.select(someRequest(), none));
}

TEST_CASE("host selection: a host without budget keeps its turn until it has") {
  HostsFixture f(1);
  f.announce(servingHost(1, kStart));
  int warmingUp = 0;
  for (int i = 0; i < 10; ++i) {
    const auto host = f.select(4);
    REQUIRE(host);
    if (*host == kSecond) {
      ++warmingUp;
      f.slowStart.spend(kSecond, 4);
    }
  }
  CHECK(warmingUp <= 1);  // all gateways together may send it 1.5 requests
}

TEST_CASE("load shedding: the least priority goes first, and hosts' reports count") {
  HostsFixture f(1);
  const Request cheap = someRequest(0, 0), dear = someRequest(1, 2);
  CHECK(f.shedding.admits(cheap));
  for (int i = 0; i < 4; ++i) f.statistics.attemptStarted(kFirst);  // of 5
  CHECK_FALSE(f.shedding.admits(cheap));
  CHECK(f.shedding.admits(dear));
  f.statistics.attemptStarted(kFirst);
  CHECK_FALSE(f.shedding.admits(dear));
  for (int i = 0; i < 5; ++i) f.statistics.attemptEnded(kFirst);
  CHECK(f.shedding.admits(cheap));
  for (int i = 0; i < 5; ++i) f.shedding.recordLoad({100, {}, {}, 10, {}}, f.context.settings.methods[0]);
  CHECK_FALSE(f.shedding.admits(cheap));
}

TEST_CASE("load shedding: staff are told when it begins and when nothing was shed for a while") {
  HostsFixture f(1);
  f.shedding.recordShed();
  f.shedding.recordShed();
  REQUIRE(f.sink.events.size() == 1);
  CHECK(f.shedding.active());
  f.pass(5s);
  f.shedding.sweep();
  CHECK(f.sink.events.size() == 1);
  f.pass(6s);
  f.shedding.sweep();
  CHECK(f.sink.events.size() == 2);
  CHECK_FALSE(f.shedding.active());
}

namespace {

struct RetryFixture : HostsFixture {
  RetryFixture() : HostsFixture(0) {
    announce(servingHost(0, {}, 1));
    announce(servingHost(1, {}, 1));
    announce(servingHost(2, {}, 2));
  }
  RequestInFlight request(std::uint32_t method, Outcome outcome, bool hasKey = true) const {
    RequestInFlight r{someRequest(method), kStart, nullptr};
    r.request.hasIdempotencyKey = hasKey;
    const bool ran = outcome != Outcome::rejected && outcome != Outcome::noConnection;
    r.attempts.push_back({kFirst, kStart, nullptr, false, ran});
    return r;
  }
  RetryPolicy retries{context, hosts};
};

constexpr HostId kThird{2};

}  // namespace

TEST_CASE("retry policy: where a request may go after an attempt that may have run") {
  RetryFixture f;
  CHECK(f.retries.allowsHost(f.request(0, Outcome::lost), kThird));
  CHECK(f.retries.allowsHost(f.request(1, Outcome::lost), kThird));
  CHECK_FALSE(f.retries.allowsHost(f.request(1, Outcome::lost, false), kThird));  // no key
  CHECK(f.retries.allowsHost(f.request(2, Outcome::lost), kSecond));
  CHECK_FALSE(f.retries.allowsHost(f.request(2, Outcome::lost), kThird));  // another zone
  CHECK_FALSE(f.retries.allowsHost(f.request(3, Outcome::lost), kSecond));
  CHECK(f.retries.allowsHost(f.request(3, Outcome::rejected), kSecond));
  CHECK(f.retries.allowsHost(f.request(3, Outcome::noConnection), kSecond));
  f.pass(100ms);  // the second zone-wide method's window is over
  CHECK_FALSE(f.retries.allowsHost(f.request(2, Outcome::lost), kSecond));
  CHECK(f.retries.allowsHost(f.request(1, Outcome::lost), kSecond));
}

TEST_CASE("retry policy: a repeat must be written before the hosts forget the first attempt") {
  RetryFixture f;
  RequestInFlight request = f.request(1, Outcome::lost);
  CHECK(f.retries.writeDeadline(request) == TimePoint::max());  // it is the last attempt itself
  request.attempts.push_back({kSecond, kStart + 1s, nullptr});
  CHECK(f.retries.writeDeadline(request) == kStart + 2s);
  request.attempts[0].mayHaveRun = false;
  CHECK(f.retries.writeDeadline(request) == TimePoint::max());
}

TEST_CASE("retry policy: retries keep to number, time and a budget that first attempts fill") {
  RetryFixture f;
  RequestInFlight request = f.request(0, Outcome::error);
  CHECK(f.retries.allowsRetry(request));
  request.attempts.resize(3);
  CHECK_FALSE(f.retries.allowsRetry(request));  // three at most
  request.attempts.resize(1);
  for (int i = 0; i < 10; ++i) f.retries.attemptStarted(false);
  CHECK_FALSE(f.retries.allowsRetry(request));
  for (int i = 0; i < 11; ++i) f.retries.attemptStarted(true);
  CHECK(f.retries.allowsRetry(request));
  CHECK(f.retries.allowsHedge(request));
  CHECK_FALSE(f.retries.allowsHedge(f.request(3, Outcome::lost)));
  f.pass(500ms);  // the soft deadline
  CHECK_FALSE(f.retries.allowsRetry(request));
}

TEST_CASE("retry policy: a request given up is rejected only where its client may repeat it") {
  RetryFixture f;
  CHECK(f.retries.clientMayRepeat(f.request(0, Outcome::lost)));
  CHECK(f.retries.clientMayRepeat(f.request(1, Outcome::lost)));
  CHECK_FALSE(f.retries.clientMayRepeat(f.request(1, Outcome::lost, false)));
  CHECK_FALSE(f.retries.clientMayRepeat(f.request(2, Outcome::lost)));
  CHECK_FALSE(f.retries.clientMayRepeat(f.request(3, Outcome::lost)));
  CHECK(f.retries.clientMayRepeat(f.request(3, Outcome::rejected)));
}
