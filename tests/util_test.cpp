#include <catch2/catch.hpp>

#include "policy/policy_fixture.hpp"
#include "policy/state_notice.hpp"
#include "util/call_pacer.hpp"
#include "util/decaying_counter.hpp"
#include "util/json_escape.hpp"

using namespace merlinbridge;
using namespace merlinbridge::util;
using namespace merlinbridge::policy::testing;

TEST_CASE("decaying counter: an amount counts for 1/e of itself after one time constant") {
  DecayingCounter counter;
  CHECK_FALSE(counter.hasCounted());
  CHECK(counter.read(kStart, 2) == 0);
  counter.add(kStart, 2, 10);
  CHECK(counter.hasCounted());
  CHECK(counter.read(kStart, 2) == 10);
  CHECK(counter.read(kStart + 2s, 2) == Approx(10 / std::exp(1)));
  counter.add(kStart + 2s, 2, 1);
  CHECK(counter.read(kStart + 2s, 2) == Approx(1 + 10 / std::exp(1)));
}

TEST_CASE("random source: the seed determines all draws, which are from 0 to below 1") {
  RandomSource first(3);
  RandomSource same(3);
  RandomSource other(4);
  bool differs = false;
  int successes = 0;
  for (int i = 0; i < 1000; ++i) {
    const double value = first.uniform01();
    CHECK(value >= 0);
    CHECK(value < 1);
    CHECK(value == same.uniform01());
    differs = differs || value != other.uniform01();
    successes += first.bernoulli(0.25);
    same.bernoulli(0.25);
  }
  CHECK(differs);
  CHECK(successes > 200);
  CHECK(successes < 300);
  CHECK(first.bernoulli(1));
  CHECK_FALSE(first.bernoulli(0));
}

TEST_CASE("timer table: each callback runs once and may add another timer") {
  TimerTable timers;
  int fired = 0;
  TimerId second;
  const TimerId first = timers.add([&] {
    ++fired;
    second = timers.add([&] { fired += 10; });
  });
  timers.fire(first);
  timers.fire(first);
  CHECK(fired == 1);
  timers.fire(second);
  CHECK(fired == 11);
  timers.fire(TimerId{99});
  CHECK(fired == 11);
}

TEST_CASE("call pacer: calls start at the pace, and unused calls accumulate to a bounded burst") {
  CallPacer pacer(2, kStart);
  const auto started = [&pacer](TimePoint now) {
    pacer.refill(now, 1);
    int count = 0;
    for (; pacer.mayStart(); ++count) pacer.start();
    return count;
  };
  CHECK(started(kStart) == 1);
  CHECK(started(kStart + 100ms) == 0);
  CHECK(pacer.untilNext(1) > 0ns);
  CHECK(started(kStart + 100ms + pacer.untilNext(1) + 1us) == 1);
  CHECK(started(kStart + 60s) == 2);  // at most the calls of one period
}

TEST_CASE("call pacer: the pace is cut at most once per period and stays within its bounds") {
  CallPacer pacer(8, kStart);
  pacer.cut(0.5, 1, kStart, 1s);
  pacer.cut(0.5, 1, kStart + 500ms, 1s);
  CHECK(pacer.callsPerPeriod() == 4);
  pacer.cut(0.1, 1, kStart + 1s, 1s);
  CHECK(pacer.callsPerPeriod() == 1);
  pacer.raise(0.5, 10);
  CHECK(pacer.callsPerPeriod() == 1.5);
  pacer.raise(100, 10);
  CHECK(pacer.callsPerPeriod() == 10);
}

TEST_CASE(
    "host table: it applies updates and complete lists and compares the deduplication scopes of hosts") {
  HostTable hosts;
  CHECK(hosts.update(servingHost(0, {}, 1)));
  CHECK(hosts.update(servingHost(1, {}, 1)));
  CHECK(hosts.update(servingHost(2, {}, 2)));
  CHECK_FALSE(hosts.update(servingHost(0, {}, 1)));
  CHECK(hosts.update(servingHost(0, kStart, 1)));  // restarted
  CHECK(hosts.servingCount() == 3);
  CHECK(hosts.inSameDeduplicationScope(DeduplicationScope::zone, hosts.deduplicationDomain({0}), {1}));
  CHECK_FALSE(hosts.inSameDeduplicationScope(DeduplicationScope::zone, hosts.deduplicationDomain({0}), {2}));
  CHECK(hosts.inSameDeduplicationScope(DeduplicationScope::all, hosts.deduplicationDomain({0}), {2}));
  hosts.markUnlistedNotServing({servingHost(1, {}, 1)});
  CHECK(hosts.servingCount() == 1);
  CHECK_FALSE(hosts.serving({0}));
  CHECK(hosts.update(servingHost(0, kStart, 1)));  // serves again
}

TEST_CASE("state notice: the start and end of a condition are reported once each, at most one per interval") {
  RecordingSink sink;
  policy::StateNotice notice(EngineEvent::loadSheddingStarted, EngineEvent::loadSheddingStopped, 10s);
  notice.set(false, kStart, sink);
  CHECK(sink.events.empty());
  notice.set(true, kStart, sink);
  notice.set(true, kStart + 1s, sink);
  notice.set(false, kStart + 2s, sink);  // less than one interval after the last report
  CHECK(sink.events == std::vector{EngineEvent::loadSheddingStarted});
  CHECK(notice.active());
  notice.set(false, kStart + 10s, sink);
  CHECK(sink.events == std::vector{EngineEvent::loadSheddingStarted, EngineEvent::loadSheddingStopped});
}

TEST_CASE("JSON escapes: quotes, backslashes and control bytes are escaped, and nothing else") {
  CHECK(escapeJson("a \"b\" \\ c") == "a \\\"b\\\" \\\\ c");
  CHECK(escapeJson("line\nend\x01") == "line\\u000aend\\u0001");
  CHECK(escapeJson("gr\xc3\xbc\xc3\x9f/'") == "gr\xc3\xbc\xc3\x9f/'");
}
