#include "gateway_core/gateway_core.hpp"

#include <catch2/catch.hpp>

#include "support/gateway_under_test.hpp"
#include "support/simulated_fleet.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;
using core::SlotRef;

namespace {

// Records the calls that the core makes. Attempts get connections in slots numbered from 1.
struct RecordingTransport final : core::Transport {
  void sendResponse(SlotRef, std::string_view body, std::string_view) override {
    answers.push_back("ok " + std::string(body));
  }
  void sendRejection(SlotRef, Duration) override { answers.emplace_back("rejected"); }
  void sendFailure(SlotRef) override { answers.emplace_back("failed"); }
  core::AttemptStartResult startAttempt(RequestId requestId, AttemptNumber attemptNumber, SlotRef,
                                        HostId host, AttemptDeadline deadline) override {
    startedAttempts.push_back({requestId, attemptNumber, host, deadline});
    if (immediateOutcome) return *immediateOutcome;
    return SlotRef{static_cast<std::uint32_t>(startedAttempts.size()), 1};
  }
  bool closeAttempt(SlotRef, AttemptNumber, SlotRef connection) override {
    closedConnections.push_back(connection.slot);
    return true;
  }
  bool isUnsent(SlotRef connection) override { return unsentConnections.contains(connection.slot); }
  core::ClientState clientState(SlotRef) override { return client; }
  void addToCounter(const CounterKey&, double, Duration) override {}
  void hostUnavailable(HostId host) override { unavailableHosts.push_back(host.value); }
  void report(EngineEvent event) override { events.push_back(event); }
  void endpointTableFull(std::string_view hostName) override { ignoredHosts.emplace_back(hostName); }

  struct StartedAttempt {
    RequestId requestId;
    AttemptNumber attemptNumber;
    HostId host;
    AttemptDeadline deadline;
  };
  std::set<std::uint32_t> unsentConnections;
  core::ClientState client = core::ClientState::connected;
  std::optional<Outcome> immediateOutcome;
  std::vector<std::string> answers;
  std::vector<EngineEvent> events;
  std::vector<std::string> ignoredHosts;
  std::vector<StartedAttempt> startedAttempts;
  std::vector<std::uint32_t> closedConnections;
  std::vector<std::uint32_t> unavailableHosts;
};

config::Endpoint endpoint(const std::string& name, bool serving = true) {
  return {name, "127.0.0.1:1", "a", "m", 0, serving, !serving, 1, 0s};
}
config::GatewayConfig plainConfig(int hosts) {
  config::GatewayConfig config{};
  config.settings = testPolicySettings(1);
  config.methodNames = {"look", "book", "zoned", "pay"};
  config.planNames = {"metered", "open", "capped"};
  config.answerSlack = 16ms;
  config.longestDeadline = 2s;
  config.knownEndpoints.generation = 1;
  for (int number = 0; number < hosts; ++number)
    config.knownEndpoints.entries.push_back(endpoint("h" + std::to_string(number)));
  return config;
}

struct Fixture {
  explicit Fixture(int hosts = 2) : Fixture(plainConfig(hosts)) {}
  explicit Fixture(const config::GatewayConfig& config) : core(config, now, deadlines, transport) {}
  RequestId requestArrives(std::uint32_t method, Duration timeout = 1s) {
    return core.requestArrived(now, {0, 1}, {{}, {++lastCustomer}, {1}, {method}, now + timeout, 1, 1});
  }
  void advance(Duration duration) {
    now += duration;
    deadlines.run(now);
  }

  std::uint64_t lastCustomer = 0;
  TimePoint now{1'700'000'000s};
  core::DeadlineQueue deadlines;
  RecordingTransport transport;
  core::GatewayCore core;
};

}  // namespace

TEST_CASE("the client gets a host's response only once, whatever is reported afterwards") {
  Fixture fixture;
  const RequestId requestId = fixture.requestArrives(0);
  fixture.core.attemptEnded(fixture.now, requestId, {0}, Outcome::ok, {"body", {}, 0, {}});
  fixture.core.attemptEnded(fixture.now, requestId, {0}, Outcome::ok, {"again", {}, 0, {}});
  fixture.core.clientDisconnected(fixture.now, requestId);
  fixture.advance(2s);
  CHECK(fixture.transport.answers == std::vector<std::string>{"ok body"});
  CHECK(fixture.core.unansweredCount() == 0);
}

TEST_CASE("a late response to an earlier request in the same slot is ignored") {
  Fixture fixture;
  const RequestId first = fixture.requestArrives(0);
  fixture.core.attemptEnded(fixture.now, first, {0}, Outcome::ok, {"one", {}, 0, {}});
  const RequestId second = fixture.requestArrives(0);
  CHECK((first.value & 0xffffffff) == (second.value & 0xffffffff));
  fixture.core.attemptEnded(fixture.now, first, {0}, Outcome::ok, {"late", {}, 0, {}});
  CHECK(fixture.transport.answers.size() == 1);
  CHECK(fixture.core.unansweredCount() == 1);
}

TEST_CASE("a request is answered one answer slack before its deadline, and its attempts are closed") {
  Fixture fixture;
  fixture.requestArrives(3);
  fixture.advance(983ms);
  CHECK(fixture.transport.answers.empty());
  fixture.advance(1ms);  // the answer slack, 16 ms, before the deadline
  CHECK(fixture.transport.answers == std::vector<std::string>{"failed"});
  CHECK(fixture.transport.closedConnections == std::vector<std::uint32_t>{1});
}

TEST_CASE("the recent lateness of the event loop shortens the deadline of a new request") {
  Fixture fixture;
  fixture.deadlines.add(fixture.now, [](TimePoint) {});
  fixture.advance(100ms);  // the callback ran 100 ms late
  fixture.requestArrives(3);
  fixture.advance(885ms);
  CHECK(fixture.transport.answers == std::vector<std::string>{"failed"});
}

TEST_CASE("an event loop stall that has not ended yet shortens the deadline of a new request") {
  Fixture fixture;
  fixture.deadlines.add(fixture.now + 10ms, [](TimePoint) {});
  fixture.now += 510ms;  // the request may have waited that long
  fixture.requestArrives(3);
  fixture.advance(485ms);
  CHECK(fixture.transport.answers == std::vector<std::string>{"failed"});
}

TEST_CASE("a restarted host is reported unavailable, so that idle connections to it are closed") {
  Fixture fixture;
  config::Endpoint restarted = endpoint("h1");
  restarted.started = 1'700'000'000s;
  fixture.core.endpointsUpdated(fixture.now, {2, false, {endpoint("h0"), restarted}});
  CHECK(fixture.transport.unavailableHosts == std::vector<std::uint32_t>{1});
}

TEST_CASE("an attempt that ends while the engine starts it is reported to the engine afterwards") {
  Fixture fixture;
  fixture.transport.immediateOutcome = Outcome::noConnection;
  fixture.requestArrives(3);  // non-idempotent, but none of its attempts ran
  CHECK(fixture.transport.startedAttempts.size() == 2);
  CHECK(fixture.transport.answers == std::vector<std::string>{"rejected"});
  CHECK(fixture.core.unansweredCount() == 0);
}

TEST_CASE("a request whose client has disconnected gets no answer and no retry") {
  Fixture fixture;
  const RequestId requestId = fixture.requestArrives(0);
  fixture.core.clientDisconnected(fixture.now, requestId);
  fixture.core.attemptEnded(fixture.now, requestId, {0}, Outcome::noConnection);
  fixture.advance(2s);
  CHECK(fixture.transport.startedAttempts.size() == 1);
  CHECK(fixture.transport.answers.empty());
}

TEST_CASE("hosts that are gone or missing from a complete list get no more attempts") {
  Fixture fixture(3);
  fixture.core.endpointsUpdated(fixture.now, {2, false, {endpoint("h0", false)}});
  fixture.core.endpointsUpdated(fixture.now, {3, true, {endpoint("h2")}});
  CHECK(fixture.transport.unavailableHosts == std::vector<std::uint32_t>{0, 1});
  for (int round = 0; round < 6; ++round) fixture.requestArrives(0);
  CHECK(std::all_of(fixture.transport.startedAttempts.begin(), fixture.transport.startedAttempts.end(),
                    [](const auto& attempt) { return attempt.host.value == 2; }));
}

TEST_CASE("host ids stay below the limit while hosts come and go") {
  Fixture fixture(1);
  for (int round = 0; round < 9000; ++round) {
    fixture.core.endpointsUpdated(fixture.now, {2, false, {endpoint("n" + std::to_string(round))}});
    fixture.core.endpointsUpdated(fixture.now, {3, false, {endpoint("n" + std::to_string(round), false)}});
  }
  fixture.core.endpointsUpdated(fixture.now, {4, true, {endpoint("last")}});
  fixture.requestArrives(0);
  REQUIRE(fixture.transport.startedAttempts.size() == 1);
  CHECK(fixture.transport.startedAttempts[0].host.value < 4096);
  CHECK(fixture.transport.ignoredHosts.empty());
  CHECK(fixture.transport.events.empty());
}

TEST_CASE("a new host that reuses the id of a removed host does not reuse its connections") {
  Fixture fixture;
  for (int round = 0; round < 300; ++round) {
    fixture.core.endpointsUpdated(fixture.now, {2, false, {endpoint("n" + std::to_string(round))}});
    fixture.transport.unavailableHosts.clear();
    fixture.core.endpointsUpdated(fixture.now, {3, false, {endpoint("n" + std::to_string(round), false)}});
    fixture.now += 1s;
  }
  fixture.transport.unavailableHosts.clear();
  fixture.core.endpointsUpdated(fixture.now, {4, true, {endpoint("last")}});
  fixture.requestArrives(0);
  REQUIRE(fixture.transport.startedAttempts.size() == 1);
  const std::uint32_t host = fixture.transport.startedAttempts[0].host.value;
  CHECK(host < 10);
  CHECK(std::count(fixture.transport.unavailableHosts.begin(), fixture.transport.unavailableHosts.end(),
                   host) == 1);  // its idle connections may be closed
}

TEST_CASE("1,024 hosts that replace 1,024 others in one update share the requests") {
  config::GatewayConfig config = plainConfig(1024);
  config.settings.gateways = 1024;
  RecordingTransport transport;
  core::DeadlineQueue deadlines;
  const TimePoint now{1'700'000'000s};
  core::GatewayCore core(config, now, deadlines, transport);
  config::EndpointList replacement{2, true, {}};
  for (int number = 0; number < 1024; ++number)
    replacement.entries.push_back(endpoint("new" + std::to_string(number)));
  core.endpointsUpdated(now, replacement);
  for (std::uint64_t round = 0; round < 200; ++round) {
    const RequestId requestId =
        core.requestArrived(now, {0, 1}, {{}, {round + 1}, {1}, {0}, now + 1s, 1, 1024});
    core.attemptEnded(now, requestId, {0}, Outcome::ok, {"body", {}, 0, {}});
  }
  CHECK(transport.startedAttempts.size() == 200);
  std::vector<std::uint32_t> usedHosts;
  for (const auto& attempt : transport.startedAttempts) {
    CHECK(core.nameOf(attempt.host).starts_with("new"));
    usedHosts.push_back(attempt.host.value);
  }
  std::sort(usedHosts.begin(), usedHosts.end());
  CHECK(std::unique(usedHosts.begin(), usedHosts.end()) - usedHosts.begin() >
        150);  // the load is spread over most hosts
  CHECK(transport.ignoredHosts.empty());
  CHECK(transport.events.empty());
}

TEST_CASE("after setAnswerDeadline, pending and new requests are answered by that time") {
  Fixture fixture;
  fixture.requestArrives(3, 10s);
  fixture.core.setAnswerDeadline(fixture.now + 1s);
  fixture.requestArrives(3, 10s);
  fixture.requestArrives(3, 500ms);
  fixture.advance(700ms);
  CHECK(fixture.transport.answers.size() == 1);
  fixture.advance(300ms);
  CHECK(fixture.transport.answers == std::vector<std::string>{"failed", "failed", "failed"});
  CHECK(fixture.core.unansweredCount() == 0);
}

TEST_CASE(
    "DeadlineQueue runs callbacks due together in the order added, and later additions in the next run") {
  core::DeadlineQueue deadlines;
  std::string order;
  const TimePoint dueAt{1s};
  deadlines.add(dueAt, [&](TimePoint) {
    order += 'a';
    deadlines.add(dueAt, [&](TimePoint) { order += 'd'; });
  });
  const auto cancelled = deadlines.add(dueAt, [&](TimePoint) { order += 'x'; });
  deadlines.add(dueAt, [&](TimePoint) { order += 'b'; });
  deadlines.add(dueAt - 1ns, [&](TimePoint) { order += 'c'; });
  deadlines.cancel(cancelled);
  deadlines.run(dueAt);
  CHECK(order == "cab");
  deadlines.run(dueAt);
  CHECK(order == "cabd");
  CHECK(deadlines.nextDueAt() == TimePoint::max());
}

TEST_CASE(
    "a deduplicated request without an idempotency key is retried only if the first attempt did not run") {
  const bool hasKey = GENERATE(true, false);
  const Outcome first = GENERATE(Outcome::error, Outcome::lost, Outcome::noConnection, Outcome::rejected);
  Fixture fixture(4);
  const RequestId requestId =
      fixture.core.requestArrived(fixture.now, {0, 1}, {{}, {1}, {1}, {1}, fixture.now + 1s, 1, 1, hasKey});
  fixture.advance(20ms);
  fixture.core.attemptEnded(fixture.now, requestId, {0}, first);
  const bool mayHaveRun = first == Outcome::error || first == Outcome::lost;
  CHECK(fixture.transport.startedAttempts.size() == (mayHaveRun && !hasKey ? 1 : 2));
  if (mayHaveRun && !hasKey)
    CHECK(fixture.transport.answers ==
          std::vector<std::string>{"failed"});  // after a rejection the client would repeat the request
}

TEST_CASE(
    "when a client disconnects, its unsent attempts are closed and its sent attempts run to completion") {
  const bool isUnsent = GENERATE(true, false);
  Fixture fixture;
  const RequestId requestId = fixture.requestArrives(0);
  if (isUnsent) fixture.transport.unsentConnections.insert(1);
  fixture.core.clientDisconnected(fixture.now, requestId);
  CHECK(fixture.transport.closedConnections ==
        (isUnsent ? std::vector<std::uint32_t>{1} : std::vector<std::uint32_t>{}));
  CHECK(fixture.core.contains(requestId) != isUnsent);
  CHECK(fixture.transport.startedAttempts.size() == 1);
}

TEST_CASE("no further attempt starts while a client's state is unknown, and its request is failed") {
  Fixture fixture(4);
  const RequestId requestId = fixture.requestArrives(0);
  fixture.transport.client = core::ClientState::unknown;
  fixture.advance(20ms);
  fixture.core.attemptEnded(fixture.now, requestId, {0}, Outcome::rejected);
  CHECK(fixture.transport.startedAttempts.size() == 1);
  CHECK(fixture.transport.answers == std::vector<std::string>{"failed"});
  CHECK_FALSE(fixture.core.contains(requestId));
}

TEST_CASE("unsent attempts to a host that begins to drain are retried on another host") {
  const bool isUnsent = GENERATE(true, false);
  const bool isComplete = GENERATE(true, false);
  Fixture fixture;
  fixture.requestArrives(3);  // non-idempotent: not retried once it has been sent
  const std::uint32_t drained = fixture.transport.startedAttempts[0].host.value;
  if (isUnsent) fixture.transport.unsentConnections.insert(1);
  config::EndpointList endpoints{2, isComplete, {}};
  for (std::uint32_t number = 0; number < 2; ++number)
    if (number != drained) endpoints.entries.push_back(endpoint("h" + std::to_string(number)));
  if (!isComplete) endpoints.entries.push_back(endpoint("h" + std::to_string(drained), false));
  fixture.core.endpointsUpdated(fixture.now, endpoints);
  REQUIRE(fixture.transport.startedAttempts.size() == (isUnsent ? 2 : 1));
  if (isUnsent) CHECK(fixture.transport.startedAttempts[1].host.value != drained);
}

TEST_CASE("only a retry has a time by which it must be written: the end of the deduplication window") {
  Fixture fixture;
  const RequestId requestId = fixture.requestArrives(1);
  CHECK(fixture.transport.startedAttempts[0].deadline.writeBy == TimePoint::max());
  const TimePoint first = fixture.now;
  fixture.advance(20ms);
  fixture.core.attemptEnded(fixture.now, requestId, {0}, Outcome::error);
  REQUIRE(fixture.transport.startedAttempts.size() == 2);
  CHECK(fixture.transport.startedAttempts[1].deadline.writeBy == first + 2s);
}

TEST_CASE("a request whose only attempt is still unsent at the deadline is rejected, not failed") {
  Fixture fixture;
  fixture.requestArrives(3);
  fixture.transport.unsentConnections.insert(1);
  fixture.advance(1s);
  CHECK(fixture.transport.answers == std::vector<std::string>{"rejected"});
}

TEST_CASE("no first attempt, retry or hedged request starts for a client that has disconnected") {
  enum class Kind { first, retry, hedge };
  const Kind kind = GENERATE(Kind::first, Kind::retry, Kind::hedge);
  const bool staysConnected = GENERATE(true, false);
  config::GatewayConfig config = plainConfig(3);
  config.settings.allowHedging = true;
  Fixture fixture(config);
  for (int round = 0; round < 5; ++round) {  // responses from which the engine learns when to hedge
    const RequestId requestId = fixture.requestArrives(0);
    fixture.advance(10ms);
    fixture.core.attemptEnded(fixture.now, requestId, {0}, Outcome::ok);
  }
  const std::size_t startedBefore = fixture.transport.startedAttempts.size();
  if (kind == Kind::first)
    fixture.transport.client =
        staysConnected ? core::ClientState::connected : core::ClientState::disconnected;
  const RequestId requestId = fixture.requestArrives(0);
  fixture.transport.client = staysConnected ? core::ClientState::connected : core::ClientState::disconnected;
  if (kind == Kind::retry) fixture.core.attemptEnded(fixture.now, requestId, {0}, Outcome::rejected);
  for (int round = 0; kind == Kind::hedge && round < 30; ++round) fixture.advance(10ms);
  const std::size_t started = fixture.transport.startedAttempts.size() - startedBefore;
  const std::size_t startedWhileConnected = kind == Kind::first ? 0 : 1;
  CHECK(started >= startedWhileConnected);
  CHECK((started > startedWhileConnected) == staysConnected);
  if (!staysConnected && kind == Kind::retry) CHECK_FALSE(fixture.core.contains(requestId));
  CHECK(fixture.core.unansweredCount() == (staysConnected ? 1u : 0u));
}
