#include "gateway_core/gateway_core.hpp"

#include <catch2/catch.hpp>

#include "world.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;
using core::SlotRef;

namespace {

// Writes down what the core has done, and answers attempts with links numbered from 1.
struct Written final : core::Transport {
  void answerOk(SlotRef, std::string_view body, std::string_view) override {
    answers.push_back("ok " + std::string(body));
  }
  void answerRejected(SlotRef, Duration) override { answers.emplace_back("rejected"); }
  void answerFailed(SlotRef) override { answers.emplace_back("failed"); }
  std::variant<SlotRef, Outcome> startAttempt(RequestId requestId, AttemptNumber no, SlotRef, HostId host,
                                              AttemptDeadline deadline) override {
    calls.push_back({requestId, no, host, deadline});
    if (atOnce) return *atOnce;
    return SlotRef{static_cast<std::uint32_t>(calls.size()), 1};
  }
  bool closeAttempt(SlotRef, AttemptNumber, SlotRef link) override {
    return givenUp.push_back(link.slot), true;
  }
  bool isUnsent(SlotRef link) override { return dialling.contains(link.slot); }
  bool clientConnected(SlotRef) override { return there; }
  void addToCounter(const CounterKey&, double, Duration) override {}
  void hostUnavailable(HostId host) override { gone.push_back(host.value); }
  void report(EngineEvent event) override { events.push_back(event); }
  void endpointTableFull(std::string_view hostName) override { ignoredHosts.emplace_back(hostName); }

  struct Call {
    RequestId requestId;
    AttemptNumber no;
    HostId host;
    AttemptDeadline deadline;
  };
  std::set<std::uint32_t> dialling;
  bool there = true;
  std::optional<Outcome> atOnce;
  std::vector<std::string> answers;
  std::vector<EngineEvent> events;
  std::vector<std::string> ignoredHosts;
  std::vector<Call> calls;
  std::vector<std::uint32_t> givenUp, gone;
};

config::Endpoint line(const std::string& name, bool serving = true) {
  return {name, "127.0.0.1:1", "a", "m", 0, serving, !serving, 1, 0s};
}
config::GatewayConfig plainConfig(int hosts) {
  config::GatewayConfig config{};
  config.settings = plainSettings(1);
  config.methods = {"look", "book", "zoned", "pay"};
  config.plans = {"metered", "open", "capped"};
  config.answerSlack = 16ms;
  config.longestDeadline = 2s;
  config.known.generation = 1;
  for (int h = 0; h < hosts; ++h) config.known.entries.push_back(line("h" + std::to_string(h)));
  return config;
}

struct Core {
  explicit Core(int hosts = 2) : Core(plainConfig(hosts)) {}
  explicit Core(const config::GatewayConfig& config) : core(config, now, deadlines, transport) {}
  RequestId ask(std::uint32_t method, Duration timeout = 1s) {
    return core.requestArrived(now, {0, 1}, {{}, {++customers}, {1}, {method}, now + timeout, 1, 1});
  }
  void pass(Duration span) { deadlines.run(now += span); }

  std::uint64_t customers = 0;
  TimePoint now{1'700'000'000s};
  core::DeadlineQueue deadlines;
  Written transport;
  core::GatewayCore core;
};

}  // namespace

TEST_CASE("a host's answer goes to the client once, whatever comes after it") {
  Core core;
  const RequestId requestId = core.ask(0);
  core.core.attemptEnded(core.now, requestId, {0}, Outcome::ok, {"body", {}, 0, {}});
  core.core.attemptEnded(core.now, requestId, {0}, Outcome::ok, {"again", {}, 0, {}});
  core.core.clientLeft(core.now, requestId);
  core.pass(2s);
  CHECK(core.transport.answers == std::vector<std::string>{"ok body"});
  CHECK(core.core.unanswered() == 0);
}

TEST_CASE("what comes late for an earlier generation of a slot is not taken for the later one's") {
  Core core;
  const RequestId first = core.ask(0);
  core.core.attemptEnded(core.now, first, {0}, Outcome::ok, {"one", {}, 0, {}});
  const RequestId second = core.ask(0);
  CHECK((first.value & 0xffffffff) == (second.value & 0xffffffff));
  core.core.attemptEnded(core.now, first, {0}, Outcome::ok, {"late", {}, 0, {}});
  CHECK(core.transport.answers.size() == 1);
  CHECK(core.core.unanswered() == 1);
}

TEST_CASE("a request is answered before its client gives up, and what is out for it is given up") {
  Core core;
  core.ask(3);
  core.pass(983ms);
  CHECK(core.transport.answers.empty());
  core.pass(1ms);  // the slack before the deadline
  CHECK(core.transport.answers == std::vector<std::string>{"failed"});
  CHECK(core.transport.givenUp == std::vector<std::uint32_t>{1});
}

TEST_CASE("the loop's own delay comes off the time that a request has") {
  Core core;
  core.deadlines.add(core.now, [](TimePoint) {});
  core.pass(100ms);  // it came 100 ms late
  core.ask(3);
  core.pass(885ms);
  CHECK(core.transport.answers == std::vector<std::string>{"failed"});
}

TEST_CASE("a stall of the loop that has not ended yet comes off it too") {
  Core core;
  core.deadlines.add(core.now + 10ms, [](TimePoint) {});
  core.now += 510ms;  // the request may have waited as long
  core.ask(3);
  core.pass(485ms);
  CHECK(core.transport.answers == std::vector<std::string>{"failed"});
}

TEST_CASE("a host that has started again loses the connections that rest towards it") {
  Core core;
  config::Endpoint back = line("h1");
  back.started = 1'700'000'000s;
  core.core.endpointsUpdated(core.now, {2, false, {line("h0"), back}});
  CHECK(core.transport.gone == std::vector<std::uint32_t>{1});
}

TEST_CASE("an attempt that ends at once is told after the module has had its say") {
  Core core;
  core.transport.atOnce = Outcome::noConnection;
  core.ask(3);  // non-idempotent, but none of its attempts ran
  CHECK(core.transport.calls.size() == 2);
  CHECK(core.transport.answers == std::vector<std::string>{"rejected"});
  CHECK(core.core.unanswered() == 0);
}

TEST_CASE("a client that has left gets no answer, and nothing more is sent for it") {
  Core core;
  const RequestId requestId = core.ask(0);
  core.core.clientLeft(core.now, requestId);
  core.core.attemptEnded(core.now, requestId, {0}, Outcome::noConnection);
  core.pass(2s);
  CHECK(core.transport.calls.size() == 1);
  CHECK(core.transport.answers.empty());
}

TEST_CASE("hosts that are gone, or missing from a whole list, are asked no more") {
  Core core(3);
  core.core.endpointsUpdated(core.now, {2, false, {line("h0", false)}});
  core.core.endpointsUpdated(core.now, {3, true, {line("h2")}});
  CHECK(core.transport.gone == std::vector<std::uint32_t>{0, 1});
  for (int n = 0; n < 6; ++n) core.ask(0);
  CHECK(std::all_of(core.transport.calls.begin(), core.transport.calls.end(),
                    [](auto& c) { return c.host.value == 2; }));
}

TEST_CASE("hosts' numbers stay bounded while hosts come and go") {
  Core core(1);
  for (int n = 0; n < 9000; ++n) {
    core.core.endpointsUpdated(core.now, {2, false, {line("n" + std::to_string(n))}});
    core.core.endpointsUpdated(core.now, {3, false, {line("n" + std::to_string(n), false)}});
  }
  core.core.endpointsUpdated(core.now, {4, true, {line("last")}});
  core.ask(0);
  REQUIRE(core.transport.calls.size() == 1);
  CHECK(core.transport.calls[0].host.value < 4096);
  CHECK(core.transport.ignoredHosts.empty());
  CHECK(core.transport.events.empty());
}

TEST_CASE("the number of a host long gone goes to a new one, and nothing of the old is left to it") {
  Core core;
  for (int n = 0; n < 300; ++n) {
    core.core.endpointsUpdated(core.now, {2, false, {line("n" + std::to_string(n))}});
    core.transport.gone.clear();
    core.core.endpointsUpdated(core.now, {3, false, {line("n" + std::to_string(n), false)}});
    core.now += 1s;
  }
  core.transport.gone.clear();
  core.core.endpointsUpdated(core.now, {4, true, {line("last")}});
  core.ask(0);
  REQUIRE(core.transport.calls.size() == 1);
  const std::uint32_t number = core.transport.calls[0].host.value;
  CHECK(number < 10);
  CHECK(std::count(core.transport.gone.begin(), core.transport.gone.end(), number) ==
        1);  // what rests there may go
}

TEST_CASE("a thousand hosts and gateways are borne, and so is the replacement of all of them") {
  config::GatewayConfig config = plainConfig(1024);
  config.settings.gateways = 1024;
  Written transport;
  core::DeadlineQueue deadlines;
  const TimePoint now{1'700'000'000s};
  core::GatewayCore core(config, now, deadlines, transport);
  config::EndpointList all{2, true, {}};
  for (int h = 0; h < 1024; ++h) all.entries.push_back(line("new" + std::to_string(h)));
  core.endpointsUpdated(now, all);
  for (std::uint64_t n = 0; n < 200; ++n) {
    const RequestId requestId = core.requestArrived(now, {0, 1}, {{}, {n + 1}, {1}, {0}, now + 1s, 1, 1024});
    core.attemptEnded(now, requestId, {0}, Outcome::ok, {"body", {}, 0, {}});
  }
  CHECK(transport.calls.size() == 200);
  std::vector<std::uint32_t> asked;
  for (const auto& call : transport.calls) {
    CHECK(core.nameOf(call.host).starts_with("new"));
    asked.push_back(call.host.value);
  }
  std::sort(asked.begin(), asked.end());
  CHECK(std::unique(asked.begin(), asked.end()) - asked.begin() > 150);  // spread, not heaped
  CHECK(transport.ignoredHosts.empty());
  CHECK(transport.events.empty());
}

TEST_CASE("told when it ends, the core answers by then, also what was taken before") {
  Core core;
  core.ask(3, 10s);
  core.core.setAnswerDeadline(core.now + 1s);
  core.ask(3, 10s);
  core.ask(3, 500ms);
  core.pass(700ms);
  CHECK(core.transport.answers.size() == 1);
  core.pass(300ms);
  CHECK(core.transport.answers == std::vector<std::string>{"failed", "failed", "failed"});
  CHECK(core.core.unanswered() == 0);
}

TEST_CASE("due together, the older goes first, and what is added meanwhile waits") {
  core::DeadlineQueue deadlines;
  std::string order;
  const TimePoint at{1s};
  deadlines.add(at, [&](TimePoint) {
    order += 'a';
    deadlines.add(at, [&](TimePoint) { order += 'd'; });
  });
  const auto dropped = deadlines.add(at, [&](TimePoint) { order += 'x'; });
  deadlines.add(at, [&](TimePoint) { order += 'b'; });
  deadlines.add(at - 1ns, [&](TimePoint) { order += 'c'; });
  deadlines.cancel(dropped);
  deadlines.run(at);
  CHECK(order == "cab");
  deadlines.run(at);
  CHECK(order == "cabd");
  CHECK(deadlines.nextDueAt() == TimePoint::max());
}

TEST_CASE("what a client says of its request is read, or its fault is named") {
  const PolicySettings settings = plainSettings();
  const auto config = plainConfig(1);
  const core::NameTables words{
      core::NameTable<MethodId>(config.methods), core::NameTable<PlanId>(config.plans), {}, {}};
  const std::string good =
      "GET /look HTTP/1.1\r\nReq-Id: 1\r\nReq-Kind: book\r\nPlan: open\r\nAccount: 00000000b4d65521\r\n"
      "Req-Deadline-Ms: 480\r\nQuota-Info: units=2, spread=3,first=1\r\n\r\n";
  const auto [was, is, fault] = GENERATE(table<std::string, std::string, std::string>({
      {"", "", ""},
      {"Req-Id: 1", "Req-Id: 1\r\nidempotency-key: k", ""},
      {"Req-Id: 1", "Req-Id: 1\r\nIdempotency-Key: ", ""},
      {"Req-Id: 1", "X: 1", "Req-Id is missing"},
      {"book", "dance", "Req-Kind is not known"},
      {"open", "none", "Plan is not known"},
      {"b4d65521", "b4d6552x", "Account is not a hex number"},
      {"480", "4.5", "Req-Deadline-Ms is not a whole number"},
      {"480", "99999999999", "Req-Deadline-Ms is not a whole number"},
      {"units=2", "units=-1", "Quota-Info has no number of units"},
      {"units=2", "units=1e300", "Quota-Info has no number of units"},
      {"spread=3", "spread=x", "Quota-Info has no spread"},
  }));
  std::string text = good;
  if (!was.empty()) text.replace(text.find(was), was.size(), is);
  http::Message message(http::Message::Kind::request);
  REQUIRE(message.advance(text.data(), text.size()) == http::Message::Stage::done);
  const core::ParsedRequest ask = core::parseRequest(message, words, settings, TimePoint(1s));
  CHECK(ask.fault == fault);
  if (!fault.empty()) return;
  CHECK(ask.request.method == MethodId{1});
  CHECK(ask.request.plan == PlanId{1});
  CHECK(ask.request.customer == CustomerId{0xb4d65521});
  CHECK(ask.request.deadline == TimePoint(1480ms));
  CHECK(ask.request.units == 2);
  CHECK(ask.request.gateways == 3);
  CHECK(ask.request.hasIdempotencyKey == (is.ends_with(": k")));
}

TEST_CASE("a request of a deduplicated method without its mark is repeated only where it never ran") {
  const bool marked = GENERATE(true, false);
  const Outcome first = GENERATE(Outcome::error, Outcome::lost, Outcome::noConnection, Outcome::rejected);
  Core core(4);
  const RequestId requestId =
      core.core.requestArrived(core.now, {0, 1}, {{}, {1}, {1}, {1}, core.now + 1s, 1, 1, marked});
  core.pass(20ms);
  core.core.attemptEnded(core.now, requestId, {0}, first);
  const bool ran = first == Outcome::error || first == Outcome::lost;
  CHECK(core.transport.calls.size() == (ran && !marked ? 1 : 2));
  if (ran && !marked)
    CHECK(core.transport.answers == std::vector<std::string>{"failed"});  // no rejection, either
}

TEST_CASE("a client leaves: what is not written yet is given up, what is on its way is left") {
  const bool dialling = GENERATE(true, false);
  Core core;
  const RequestId requestId = core.ask(0);
  if (dialling) core.transport.dialling.insert(1);
  core.core.clientLeft(core.now, requestId);
  CHECK(core.transport.givenUp == (dialling ? std::vector<std::uint32_t>{1} : std::vector<std::uint32_t>{}));
  CHECK(core.core.holds(requestId) != dialling);
  CHECK(core.transport.calls.size() == 1);
}

TEST_CASE("a host is told to drain: what still dials to it goes elsewhere, be the list whole or not") {
  const bool dialling = GENERATE(true, false), whole = GENERATE(true, false);
  Core core;
  core.ask(3);  // not to be repeated
  const std::uint32_t at = core.transport.calls[0].host.value;
  if (dialling) core.transport.dialling.insert(1);
  config::EndpointList endpoints{2, whole, {}};
  for (std::uint32_t h = 0; h < 2; ++h)
    if (h != at) endpoints.entries.push_back(line("h" + std::to_string(h)));
  if (!whole) endpoints.entries.push_back(line("h" + std::to_string(at), false));
  core.core.endpointsUpdated(core.now, endpoints);
  REQUIRE(core.transport.calls.size() == (dialling ? 2 : 1));
  if (dialling) CHECK(core.transport.calls[1].host.value != at);
}

TEST_CASE("a repeat must be on its way before the hosts forget the first, a first one need not") {
  Core core;
  const RequestId requestId = core.ask(1);
  CHECK(core.transport.calls[0].deadline.writeBy == TimePoint::max());
  const TimePoint first = core.now;
  core.pass(20ms);
  core.core.attemptEnded(core.now, requestId, {0}, Outcome::error);
  REQUIRE(core.transport.calls.size() == 2);
  CHECK(core.transport.calls[1].deadline.writeBy == first + 2s);
}

TEST_CASE("what is given up at its time and was never written may be asked for again") {
  Core core;
  core.ask(3);
  core.transport.dialling.insert(1);
  core.pass(1s);
  CHECK(core.transport.answers == std::vector<std::string>{"rejected"});
}

TEST_CASE("no attempt begins for a client that is there no more: no first one, no retry, no hedge") {
  enum class Kind { first, retry, hedge };
  const Kind kind = GENERATE(Kind::first, Kind::retry, Kind::hedge);
  const bool stays = GENERATE(true, false);
  config::GatewayConfig config = plainConfig(3);
  config.settings.allowHedging = true;
  Core core(config);
  for (int n = 0; n < 5; ++n) {  // what is usual for a host
    const RequestId requestId = core.ask(0);
    core.pass(10ms);
    core.core.attemptEnded(core.now, requestId, {0}, Outcome::ok);
  }
  const std::size_t before = core.transport.calls.size();
  if (kind == Kind::first) core.transport.there = stays;
  const RequestId requestId = core.ask(0);
  core.transport.there = stays;
  if (kind == Kind::retry) core.core.attemptEnded(core.now, requestId, {0}, Outcome::rejected);
  for (int n = 0; kind == Kind::hedge && n < 30; ++n) core.pass(10ms);
  const std::size_t begun = core.transport.calls.size() - before;
  const std::size_t whileThere = kind == Kind::first ? 0 : 1;
  CHECK(begun >= whileThere);
  CHECK((begun > whileThere) == stays);
  if (!stays && kind == Kind::retry) CHECK_FALSE(core.core.holds(requestId));
  CHECK(core.core.unanswered() == (stays ? 1u : 0u));
}
