/// \file
/// Discovery that answers slowly: lists, changes and heads that arrive in pieces over seconds, and lists that
/// stop half way, alone and beside other failures.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "support/scripted_discovery.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

using Answer = DiscoveryAnswer;
using Then = DiscoveryAnswer::Then;

/// A change counts as known this long after discovery had it and could be reached.
constexpr Duration kChangeKnownWithin = 6s;
/// By how much the steps of the test can delay an answer.
constexpr Duration kStepTolerance = 300ms;

const Answer kPrompt{};
const Answer kRejected{.kind = Answer::Kind::rejection};
const Answer kHangs{.kind = Answer::Kind::none};

Answer slow(Duration listTakes) {
  return {.listTakes = listTakes};
}

Answer stopsHalfWay(Then then, Duration halfTakes) {
  return {.listTakes = halfTakes, .then = then};
}

/// How long the gateway takes to learn that its host drains, which discovery knows from the start.
Duration timeToLearn(const std::vector<Answer>& answers, Duration limit = kChangeKnownWithin) {
  GatewayUnderTest gateway;
  ScriptedDiscovery discovery(gateway, gateway.discovery, answers);
  discovery.publish("terminating");
  return discovery.runUntilDraining(limit);
}

}  // namespace

// A list that takes longer than a missed heartbeat was dropped half way, asked for anew, and never arrived.
TEST_CASE("A list that keeps arriving is applied however long it takes, by watch and by poll") {
  const Duration listTakes = GENERATE(as<Duration>(), 1500ms, 3s, 5s, 8s, 12s, 15s, 40s);
  const bool isPolled = GENERATE(false, true);
  std::vector<Answer> answers{slow(listTakes)};
  if (isPolled) answers = {kRejected, slow(listTakes)};
  // A list that takes longer than the slow response may grow old is had at the third attempt at the latest.
  const Duration limit = listTakes > 16s ? 4 * listTakes : listTakes + kStepTolerance + 400ms;
  CHECK(timeToLearn(answers, limit) < limit);
}

// A poll tells what discovery had when it began, and the pause before the next one counted from its end.
TEST_CASE("Where only polls are answered, over up to 3 s, a change is known in time whenever it comes") {
  const Duration listTakes = GENERATE(as<Duration>(), 0s, 1500ms, 2200ms, 2400ms, 3s);
  constexpr Duration kChangeEvery = 700ms;  // shifts through all phases of a poll
  constexpr int kChanges = 30;
  const Answer polled{.listTakes = listTakes, .rejectsWatches = true};
  for (int change = 0; change < kChanges; ++change) {
    GatewayUnderTest gateway;
    ScriptedDiscovery discovery(gateway, gateway.discovery, {polled});
    discovery.run(change * kChangeEvery);
    discovery.publish("terminating");
    INFO("change after " << seconds(change * kChangeEvery) << " s");
    CHECK(discovery.runUntilDraining(2 * kChangeKnownWithin) < kChangeKnownWithin);
  }
}

TEST_CASE("A slow list of 3,200 hosts is applied, and one of over 2 MiB is refused") {
  constexpr int kHosts = 3200;
  constexpr int kTooManyHosts = 20'000;  // over 2 MiB
  const bool isTooLarge = GENERATE(false, true);
  GatewayUnderTest gateway;
  ScriptedDiscovery discovery(gateway, gateway.discovery, {slow(4s)}, isTooLarge ? kTooManyHosts : kHosts);
  discovery.publish("terminating");
  if (isTooLarge) {
    discovery.run(12s);
    CHECK(discovery.callCount() > 3);
    CHECK(discovery.runUntilDraining(100ms) == 100ms);
  } else {
    CHECK(discovery.runUntilDraining(kChangeKnownWithin) < kChangeKnownWithin);
  }
}

// The head of a response had a bound of its own, which any byte renewed, and the list another.
TEST_CASE("A list behind a slow head is applied") {
  const Duration takes = GENERATE(as<Duration>(), 1s, 2s, 2800ms);
  CHECK(timeToLearn({{.headTakes = takes, .listTakes = takes}}) < kChangeKnownWithin);
}

// A change that arrived slowly on an open watch was dropped half way, and so was the list asked for instead.
TEST_CASE("A change that arrives slowly on an open watch is applied") {
  const Duration changeTakes = GENERATE(as<Duration>(), 3s, 4s, 5500ms);
  GatewayUnderTest gateway;
  ScriptedDiscovery discovery(gateway, gateway.discovery, {kPrompt, slow(changeTakes)});
  discovery.run(3s);
  discovery.publish("terminating", slow(changeTakes));
  CHECK(discovery.runUntilDraining(kChangeKnownWithin) < kChangeKnownWithin);
  discovery.run(10s);
  CHECK(discovery.openCount() == 1);
}

// Reading on for as long as any byte arrives would wait for a list that never ends.
TEST_CASE("A list that stops half way is asked for anew in time, whatever follows it") {
  const Then then = GENERATE(Then::silence, Then::heartbeats, Then::blankLines, Then::endlessString,
                             Then::endlessEntries, Then::reset);
  const Duration halfTakes = GENERATE(as<Duration>(), 0ms, 1500ms, 2900ms);
  const Answer stopped = stopsHalfWay(then, halfTakes);
  SECTION("a watch, and discovery answers the next call at once") {
    CHECK(timeToLearn({stopped, kPrompt}) < kChangeKnownWithin);
  }
  SECTION("a poll, and discovery answers the next call at once") {
    CHECK(timeToLearn({kRejected, stopped, kPrompt}) < kChangeKnownWithin);
  }
  SECTION("a watch, and two calls are rejected before one is answered") {
    CHECK(timeToLearn({stopped, kRejected, kRejected, kPrompt}) < kChangeKnownWithin);
  }
  SECTION("a watch, and the next call hangs") {
    CHECK(timeToLearn({stopped, kHangs, kPrompt}) < kChangeKnownWithin);
  }
  SECTION("twice") {
    CHECK(timeToLearn({stopped, stopped, kPrompt}) < kChangeKnownWithin);
  }
}

// Two failures together: the call that follows the one that stopped is slow.
TEST_CASE("A list that stops half way does not keep a slow one from arriving") {
  const Then then =
      GENERATE(Then::silence, Then::heartbeats, Then::blankLines, Then::endlessString, Then::reset);
  const Duration halfTakes = GENERATE(as<Duration>(), 0ms, 1s, 2s, 2500ms);
  CHECK(timeToLearn({stopsHalfWay(then, halfTakes), slow(3s)}) < kChangeKnownWithin);
}

TEST_CASE("A list without end does not keep a slow one from arriving at last") {
  const Duration limit = 60s;
  CHECK(timeToLearn({stopsHalfWay(Then::endlessEntries, 1s), slow(10s)}, limit) < limit);
}

TEST_CASE("A list that takes 3 s is known in time beside a rejection, a hang or a reset") {
  CHECK(timeToLearn({kRejected, slow(3s)}) < kChangeKnownWithin);
  CHECK(timeToLearn({kHangs, slow(3s)}) < kChangeKnownWithin);
  CHECK(timeToLearn({stopsHalfWay(Then::reset, 2200ms), slow(3s)}) < kChangeKnownWithin);
  CHECK(timeToLearn({stopsHalfWay(Then::reset, 2900ms), slow(3s)}) < kChangeKnownWithin);
  CHECK(timeToLearn({slow(3s), kRejected, slow(3s)}) < kChangeKnownWithin);
  CHECK(timeToLearn({slow(3s), kHangs, slow(3s)}) < kChangeKnownWithin);
}

TEST_CASE("A watch whose slow list is complete is the only one, and tells changes at once") {
  GatewayUnderTest gateway;
  ScriptedDiscovery discovery(gateway, gateway.discovery, {slow(3s)});
  discovery.run(3200ms);
  CHECK(discovery.callCount() == 2);
  discovery.run(12s);
  CHECK(discovery.callCount() == 2);
  CHECK(discovery.openCount() == 1);
  discovery.publish("terminating");
  CHECK(discovery.runUntilDraining(1s) <= kStepTolerance);
}

TEST_CASE("A newer list that is complete first closes the slow response, and an older one is never applied") {
  GatewayUnderTest gateway;
  ScriptedDiscovery discovery(gateway, gateway.discovery, {slow(8s), kPrompt});
  discovery.run(1s);
  discovery.publish("terminating");
  CHECK(discovery.runUntilDraining(3s) < 3s);
  discovery.run(12s);
  CHECK(discovery.openCount() == 1);
  CHECK(discovery.callCount() == 2);
  CHECK(discovery.runUntilDraining(1s) <= kStepTolerance);
}

TEST_CASE("Discovery that is slow is asked no more often than one that is silent") {
  GatewayUnderTest gateway;
  ScriptedDiscovery discovery(gateway, gateway.discovery, {slow(12s)});
  discovery.run(12s);
  CHECK(discovery.callCount() <= 6);  // at least 2.25 s for each, and a pause
  CHECK(discovery.openCount() <= 2);
  discovery.run(20s);
  CHECK(discovery.callCount() <= 6);
  CHECK(discovery.openCount() == 1);
}

TEST_CASE("A move of discovery in the middle of a slow list closes both requests and is followed at once") {
  const Duration movedAfter = GENERATE(as<Duration>(), 1s, 2400ms, 4s);
  GatewayUnderTest gateway;
  PeerListener newListener;
  ScriptedDiscovery discovery(gateway, gateway.discovery, {slow(8s)});
  ScriptedDiscovery newDiscovery(gateway, newListener, {kPrompt});
  discovery.run(movedAfter);
  newDiscovery.publish("terminating");
  gateway.server.setAddresses(newListener.address(), gateway.counter.address());
  CHECK(newDiscovery.runUntilDraining(1s) <= kStepTolerance);
  CHECK(newDiscovery.asked(0, "watch=1&from=41 "));
  CHECK(discovery.openCount() == 0);
  discovery.run(12s);
  CHECK(discovery.openCount() == 0);
  CHECK(newDiscovery.runUntilDraining(1s) <= kStepTolerance);
}

TEST_CASE("A reload with the same address does not end a slow response") {
  GatewayUnderTest gateway;
  ScriptedDiscovery discovery(gateway, gateway.discovery, {slow(4s)});
  discovery.publish("terminating");
  for (int reload = 0; reload < 7; ++reload) {
    discovery.run(500ms);
    gateway.server.setAddresses(gateway.discovery.address(), gateway.counter.address());
  }
  CHECK(discovery.runUntilDraining(1s) < 1s);
}

TEST_CASE("A watch that is rejected slowly is followed by polls") {
  GatewayUnderTest gateway;
  std::optional<TestPeer> watch;
  std::optional<TestPeer> next;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, watch));
  for (const char part : std::string(kUnavailableResponse)) {
    watch->send(std::string(1, part));
    gateway.runPendingEvents();
    gateway.advanceClock(60ms);
  }
  REQUIRE(gateway.runUntilClosed(*watch));
  gateway.advanceClock(4s);
  bool hasPolled = false;
  while (gateway.discovery.accept(next)) {
    gateway.runUntilReceived(*next, kHeadEnd);
    hasPolled = hasPolled || next->hasReceived("GET /registry/instances HTTP");
    next->close();
  }
  CHECK(hasPolled);
}

TEST_CASE("An operator sees whether discovery is slow, stuck or silent") {
  const std::string kSlowLine =
      "warning: discovery_slow: endpoint list arrives slowly, keeping the last one until it is complete "
      "generation=41 received_bytes=";
  const std::string kUnreachableLine = "warning: discovery_unreachable: ";
  GatewayUnderTest gateway;
  const auto logHolds = [&](const std::string& text) {
    return gateway.logText.str().find(text) != std::string::npos;
  };
  SECTION("slow") {
    ScriptedDiscovery discovery(gateway, gateway.discovery, {slow(8s)});
    discovery.run(7s);
    CHECK(logHolds(kSlowLine));
    CHECK(logHolds(" elapsed_ms=22"));
    CHECK_FALSE(logHolds(kUnreachableLine));
    discovery.run(2s);
    CHECK(logHolds("info: discovery_restored: discovery reachable again generation=42"));
  }
  SECTION("stuck from the start of a list") {
    ScriptedDiscovery discovery(gateway, gateway.discovery, {stopsHalfWay(Then::blankLines, 0ms)});
    discovery.run(3s);
    CHECK_FALSE(logHolds(kSlowLine));
    CHECK(logHolds(kUnreachableLine));
  }
  SECTION("slow, then stuck") {
    ScriptedDiscovery discovery(gateway, gateway.discovery, {stopsHalfWay(Then::blankLines, 2s)});
    discovery.run(5s);
    CHECK(logHolds(kSlowLine));
    CHECK(logHolds(kUnreachableLine));
  }
  SECTION("silent") {
    ScriptedDiscovery discovery(gateway, gateway.discovery, {kHangs});
    discovery.run(3s);
    CHECK_FALSE(logHolds(kSlowLine));
    CHECK(logHolds(kUnreachableLine));
  }
}

TEST_CASE("A list without end is not read on for ever beside a watch that has heartbeats") {
  GatewayUnderTest gateway;
  std::optional<TestPeer> endless;
  std::optional<TestPeer> watch;
  REQUIRE(gateway.runUntilAccepted(gateway.discovery, endless));
  endless->send("HTTP/1.1 200 OK\r\n\r\n{\"instances\":[");
  for (int step = 0; step < 200; ++step) {
    endless->send("{},");
    if (step % 20 == 0 && watch) watch->send("\n");
    if (!watch && gateway.discovery.accept(watch)) watch->send("HTTP/1.1 200 OK\r\n\r\n\n");
    gateway.runPendingEvents();
    gateway.advanceClock(100ms);
  }
  REQUIRE(watch);
  CHECK(endless->isClosedByRemote());
  CHECK_FALSE(watch->isClosedByRemote());
}
