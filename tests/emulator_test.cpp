#include <fmt/format.h>

#include <catch2/catch.hpp>

#include "emulator/event_queue.hpp"
#include "emulator/front_load_balancer.hpp"
#include "emulator/metrics.hpp"
#include "emulator/network.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/scenario_keys.hpp"

using namespace merlinbridge;
using namespace merlinbridge::emulator;
using namespace std::chrono_literals;
using core::SlotRef;

namespace {

const std::string kBaseScenario = R"(name = "small"
length = "6s"
[fleet]
gateways = 3
zones = 2
[hosts]
count = 4
cores = 4
[clients]
rate = 150
customers = 40
spread = 2
[[method]]
name = "look"
share = 0.6
[[method]]
name = "save"
repeat = "deduplicated"
group = "cell"
share = 0.2
[[method]]
name = "pay"
repeat = "non-idempotent"
share = 0.2
[[plan]]
name = "capped"
rate = 6
burst = 20
ceiling_rate = 9
ceiling_burst = 30
ceiling_slack = 6
)";

std::string fault(const std::string& kind, const std::string& from, const std::string& lasts,
                  const std::string& extraText = "") {
  return "[[fault]]\nkind = \"" + kind + "\"\nfrom = \"" + from + "\"\nlasts = \"" + lasts + "\"\n" +
         extraText + "\n";
}

std::string errorMessage(const std::string& text, const std::vector<std::string>& changes = {}) {
  try {
    readScenario(text, "s.toml", changes);
  } catch (const ScenarioError& e) {
    return e.what();
  }
  return "";
}

// Violates one invariant on purpose; otherwise sends each request to the hosts in turn.
class FaultyGateway final : public EmulatedGateway {
 public:
  FaultyGateway(Invariant rule, const config::GatewayConfig& config, core::DeadlineQueue& deadlines,
                core::Transport& transport)
      : rule_(rule), deadlines_(deadlines), transport_(transport) {
    for (const auto& endpoint : config.knownEndpoints.entries)
      if (endpoint.serving) hosts_.push_back(endpoint.address);
  }
  void requestArrived(TimePoint now, SlotRef client, const Request& request) override {
    if (hosts_.empty()) return transport_.sendRejection(client, Duration{0});
    if (rule_ == Invariant::lost && ++requestCount_ % 10 == 0) return;  // never answered
    const RequestId requestId{++lastRequestId_};
    // The ceiling is violated by admitting all requests, drain by using the first known host forever, slow
    // start by using the most recently announced host.
    const std::size_t host = rule_ == Invariant::drain       ? 0
                             : rule_ == Invariant::slowStart ? hosts_.size() - 1
                                                             : lastRequestId_ % hosts_.size();
    const auto sent = transport_.startAttempt(requestId, {0}, client, {static_cast<std::uint32_t>(host)},
                                              {request.deadline, TimePoint::max()});
    requests_[requestId.value] = {client, request.method, 0, std::get<SlotRef>(sent)};
    deadlines_.add(std::max(now, request.deadline - 50ms), [this, requestId](TimePoint) {
      const auto at = requests_.find(requestId.value);
      if (at == requests_.end()) return;
      const PendingRequest pending = at->second;
      requests_.erase(at);
      transport_.closeAttempt(pending.client, {pending.attemptNumber}, pending.attempt);
      transport_.sendFailure(pending.client);
    });
  }
  void clientDisconnected(TimePoint, SlotRef) override {}
  void attemptEnded(TimePoint, RequestId requestId, AttemptNumber, Outcome outcome,
                    const core::UpstreamResponse& response) override {
    const auto at = requests_.find(requestId.value);
    if (at == requests_.end()) return;
    PendingRequest& pending = at->second;
    if (outcome == Outcome::ok) {
      const SlotRef client = pending.client;
      requests_.erase(at);
      transport_.sendResponse(client, response.body, response.contentType);
      if (rule_ == Invariant::lost && lastRequestId_ % 7 == 0)
        transport_.sendFailure(client);  // a second answer
      return;
    }
    if (rule_ == Invariant::duplicate && pending.attemptNumber == 0) {  // retries even non-idempotent methods
      const auto sent = transport_.startAttempt(requestId, {++pending.attemptNumber}, pending.client, {0},
                                                {TimePoint::max(), TimePoint::max()});
      if (const SlotRef* const attempt = std::get_if<SlotRef>(&sent)) pending.attempt = *attempt;
      return;
    }
    const SlotRef client = pending.client;
    requests_.erase(at);
    outcome == Outcome::rejected ? transport_.sendRejection(client, Duration{0})
                                 : transport_.sendFailure(client);
  }
  void counterCallEnded(TimePoint, const CounterKey&, CounterCallOutcome, double, Duration) override {}
  void endpointsUpdated(TimePoint, const config::EndpointList& endpoints) override {
    if (rule_ == Invariant::drain) return;
    for (const auto& endpoint : endpoints.entries) {
      std::erase(hosts_, endpoint.address);
      if (endpoint.serving) hosts_.push_back(endpoint.address);
    }
  }
  const std::string& addressOf(HostId host) const override { return hosts_[host.value]; }
  void setAnswerDeadline(TimePoint) override {}
  std::size_t unansweredCount() const override { return 0; }

 private:
  struct PendingRequest {
    SlotRef client;
    MethodId method;
    std::uint32_t attemptNumber = 0;
    SlotRef attempt;
  };
  const Invariant rule_;
  core::DeadlineQueue& deadlines_;
  core::Transport& transport_;
  std::vector<std::string> hosts_;
  std::map<std::uint64_t, PendingRequest> requests_;
  std::uint64_t lastRequestId_ = 0, requestCount_ = 0;
};

}  // namespace

TEST_CASE("event queue: events of one instant run in the order they were added, and none runs in the past") {
  EventQueue events(TimePoint(5s));
  std::string order;
  events.at(TimePoint(6s), [&] { order += 'a'; });
  events.at(TimePoint(6s), [&] {
    order += 'b';
    events.at(TimePoint(1s), [&] { order += 'd'; });
  });
  events.at(TimePoint(6s), [&] { order += 'c'; });
  while (events.step(TimePoint(7s))) {
  }
  CHECK(order == "abcd");
  CHECK(events.now() == TimePoint(7s));
}

TEST_CASE("random streams with different names or seeds are independent") {
  RandomStream stream(1, "one");
  RandomStream sameStream(1, "one");
  RandomStream otherName(1, "two");
  RandomStream otherSeed(2, "one");
  const double first = stream.uniform01();
  CHECK(first == sameStream.uniform01());
  CHECK(first != otherName.uniform01());
  CHECK(first != otherSeed.uniform01());
  double sum = 0;
  for (int draw = 0; draw < 10'000; ++draw) sum += stream.exponential(3);
  CHECK(sum / 10'000 == Approx(3).epsilon(0.05));
}

TEST_CASE("active faults: factors multiply, and each fault is removed by its number") {
  Fault slow{FaultKind::hostSlow, {0, 0}, {1, 1}, 1, 3, 1};
  Fault slower{FaultKind::hostSlow, {0, 0}, {1, 1}, 1, 2, 1};
  Fault loss{FaultKind::netLoss, {0, 0}, {1, 1}, 1, 0.25, 1};
  ActiveFaults faults;
  CHECK_FALSE(faults.any(FaultKind::hostSlow));
  CHECK(faults.factor(FaultKind::hostSlow) == 1);
  faults.add(0, {&slow, {1, 0}, 0});
  faults.add(1, {&slower, {1, 1}, 0});
  faults.add(2, {&loss, {}, 0});
  CHECK(faults.factor(FaultKind::hostSlow) == 6);
  CHECK(faults.scaledFor(FaultKind::hostSlow, 0, 10) == 60);
  CHECK(faults.scaledFor(FaultKind::hostSlow, 1, 10) == 20);
  CHECK(faults.scaledFor(FaultKind::hostSlow, 2, 10) == 10);  // a host that was added after the faults began
  CHECK(faults.survival(FaultKind::netLoss, 0.5) == 0.375);
  CHECK(faults.affects(FaultKind::hostSlow, 1));
  CHECK(faults.remove(1).fault == &slower);
  CHECK_FALSE(faults.affects(FaultKind::hostSlow, 1));
  CHECK(faults.affects(FaultKind::hostSlow, 0));
}

TEST_CASE("network: a partitioned zone reaches no other zone, and delays stay within their bounds") {
  const Scenario scenario =
      readScenario(kBaseScenario, "s.toml", {"network.delay=2ms", "network.jitter=1ms"});
  Fault cut{FaultKind::zoneCut, {0, 0}, {1, 1}, 1, 1, 1};
  ActiveFaults faults;
  Network network(scenario, 1, faults);
  CHECK_FALSE(network.isPartitioned(0, 1));
  CHECK_FALSE(network.losesCounterResponse());
  for (int i = 0; i < 100; ++i) {
    const Duration delay = network.delay();
    CHECK(delay >= 2ms);
    CHECK(delay < 3ms);
  }
  faults.add(0, {&cut, {}, 1});
  CHECK(network.isPartitioned(0, 1));
  CHECK(network.isPartitioned(1, 2));
  CHECK_FALSE(network.isPartitioned(0, 2));
  CHECK_FALSE(network.isPartitioned(1, 1));
}

TEST_CASE("front load balancer: a customer uses only its subset of gateways, and prefers the listed ones") {
  FrontLoadBalancer front(readScenario(kBaseScenario, "s.toml"));  // 3 gateways, 2 for each customer
  const std::uint32_t first = front.choose(7, 0);
  const std::uint32_t second = front.choose(7, 0.99);
  CHECK(second == (first + 1) % 3);
  front.setListed(first, false);
  CHECK(front.choose(7, 0) == second);
  front.setListed(second, false);
  CHECK(front.choose(7, 0) == first);  // none is listed: unlisted gateways are used
  front.setListed(first, true);
  CHECK(front.choose(7, 0.99) == first);
}

TEST_CASE("a scenario is read completely, and a written scenario reads back unchanged") {
  const Scenario scenario =
      readScenario(kBaseScenario + fault("host_slow", "1s", "2s", "factor = 5"), "s.toml");
  CHECK(scenario.gateways == 3);
  CHECK(scenario.methods.at(1).deduplicationScope == DeduplicationScope::cell);
  CHECK(scenario.faults.at(0).factor == 5);
  const std::string written = writeScenario(scenario);
  CHECK(writeScenario(readScenario(written, "again.toml")) == written);
  CHECK(readScenario(written, "again.toml").hash == scenario.hash);
  CHECK(readScenario(kBaseScenario, "s.toml", {"fleet.gateways=30", "method.0.share=2"}).gateways == 30);
  CHECK(readScenario(kBaseScenario, "s.toml", {"hosts.count=9"}).hash !=
        readScenario(kBaseScenario, "s.toml").hash);
}

TEST_CASE("an invalid scenario is reported with its position and the expected value") {
  const auto replaced = [](const std::string& before, const std::string& after) {
    std::string text = kBaseScenario;
    return text.replace(text.find(before), before.size(), after);
  };
  CHECK(errorMessage(replaced("rate = 150", "rate = -1")) ==
        "s.toml:10:8: 'clients.rate': expected a number from 0 to 10000000, found -1");
  CHECK(errorMessage(replaced("gateways = 3", "gatewais = 3")) ==
        "s.toml:3:1: 'fleet.gateways' is missing: expected an integer from 1 to 4096");
  CHECK(errorMessage(replaced("zones = 2", "zone = 2")) == "s.toml:5:1: unknown key 'fleet.zone'");
  CHECK(errorMessage(replaced("\"6s\"", "\"6 weeks\"")) ==
        "s.toml:2:10: 'length': expected a duration from 0 to 1 day, such as \"250ms\", found '6 weeks'");
  CHECK(errorMessage(replaced("\"6s\"", "\"1e300h\"")) != "");
  CHECK(errorMessage(replaced("\"6s\"", "\"-1s\"")) != "");
  CHECK(errorMessage(replaced("rate = 150", "rate = nan")) != "");
  CHECK(errorMessage(replaced("rate = 150", "rate = ")).starts_with("s.toml:10:"));
  CHECK(errorMessage(replaced("[hosts]", "hosts = 1\n[host]")).starts_with("s.toml:"));
  CHECK(errorMessage(kBaseScenario + fault("host_slow", "3s", "-1s")) ==
        "s.toml:35:9: 'fault[0].lasts': expected a duration, such as \"2s\", or a minimum and a maximum, "
        "such as [\"1s\", \"3s\"], "
        "found '-1s'");
  CHECK(errorMessage(kBaseScenario + "[[fault]]\nkind=\"host_slow\"\nfrom=[\"3s\",\"2s\"]\n") != "");
  CHECK(errorMessage(kBaseScenario + fault("host_slow", "7s", "1s")) !=
        "");  // starts after the end of the run
  CHECK(errorMessage(kBaseScenario + fault("earthquake", "1s", "1s")).find("expected one of gateway_kill,") !=
        std::string::npos);
  CHECK(errorMessage(kBaseScenario, {"fleet.gateways"}) == "change 'fleet.gateways': expected path=value");
  CHECK(errorMessage(kBaseScenario, {"method.9.share=1"}) == "change 'method.9.share=1': there is no '9'");
  CHECK(errorMessage(kBaseScenario, {"name.x=1"}) != "");
  CHECK(errorMessage(
            "name = \"none\"\nlength = \"1s\"\n[fleet]\ngateways=1\n[hosts]\ncount=1\n[clients]\nrate=1\n") !=
        "");
}

TEST_CASE("a renamed key is still read under its old name, with one warning that gives both names") {
  const std::string text = writeScenario(readScenario(kBaseScenario, "s.toml"));
  CHECK(readScenario(text, "s.toml").warnings.empty());
  REQUIRE(renamedKeys().size() == 16);
  for (const RenamedKey& key : renamedKeys()) {
    const std::string table(key.table);
    const std::string oldName(key.oldName);
    const std::string newName(key.newName);
    INFO(table << "." << oldName);
    const std::string oldKey = fmt::format("{}.{}", table, oldName);
    const std::string newKey = fmt::format("{}.{}", table, newName);
    const std::string warning = fmt::format("key {} is now called {}", oldKey, newKey);
    const std::size_t head = text.find(fmt::format("[{}]\n", table));
    REQUIRE(head != std::string::npos);
    const std::size_t line = text.find(fmt::format("\n{} = ", newName), head) + 1;
    REQUIRE(line != std::string::npos + 1);

    std::string old = text;
    old.replace(line, newName.size(), oldName);
    const Scenario read = readScenario(old, "s.toml");
    CHECK(read.warnings == std::vector<std::string>{warning});
    CHECK(writeScenario(read) == text);

    // The value under the old name takes effect, both in the file and in a path=value change.
    const std::size_t begin = line + newName.size() + 3;
    const std::string value = text.substr(begin, text.find('\n', begin) - begin);
    const std::string other = value == "true"    ? "false"
                              : value == "false" ? "true"
                              : value[0] == '"'  ? "\"7s\""
                                                 : "1";
    std::string changed = text;
    changed.replace(begin, value.size(), other);
    std::string oldChanged = old;
    oldChanged.replace(line + oldName.size() + 3, value.size(), other);
    CHECK(writeScenario(readScenario(oldChanged, "s.toml")) ==
          writeScenario(readScenario(changed, "s.toml")));
    const Scenario set = readScenario(text, "s.toml", {fmt::format("{}={}", oldKey, other)});
    CHECK(writeScenario(set) == writeScenario(readScenario(changed, "s.toml")));
    CHECK(set.warnings == std::vector<std::string>{warning});

    std::string both = text;
    both.insert(line, fmt::format("{} = {}\n", oldName, value));
    CHECK(
        errorMessage(both).ends_with(fmt::format("'{}' and its new name '{}' are both set", oldKey, newKey)));
  }
}

TEST_CASE("runs are reproducible by seed, and every policy gets the same client requests") {
  const Scenario scenario = readScenario(kBaseScenario + fault("gateway_restart", "1s", "2s", "steps = 3") +
                                             fault("host_replace", "2s", "1s", "share = 0.5"),
                                         "s.toml");
  const Metrics first = play(scenario, 1, Policy::gatewayCore);
  const Metrics again = play(scenario, 1, Policy::gatewayCore);
  const Metrics otherSeed = play(scenario, 2, Policy::gatewayCore);
  const Metrics evenQuota = play(scenario, 1, Policy::evenQuota);
  CHECK(first.fingerprint == again.fingerprint);
  CHECK(first.events == again.events);
  CHECK(first.fingerprint != otherSeed.fingerprint);
  CHECK(first.requests == evenQuota.requests);
  CHECK(first.utilityOffered == evenQuota.utilityOffered);
  CHECK(first.requests == first.inTime + first.late + first.failed + first.abandoned);
  CHECK(first.violationCount() == 0);
  CHECK(first.inTime > first.requests / 2);
}

TEST_CASE("every violation of an invariant is reported with its time, attempt and invariant") {
  struct Case {
    Invariant rule;
    std::string faults;
    std::vector<std::string> changes{"plan.0.ceiling_rate=0"};
  };
  const std::vector<Case> cases{
      {Invariant::lost, ""},
      {Invariant::duplicate, fault("host_err", "0s", "6s", "factor = 0.5")},
      {Invariant::drain, fault("host_replace", "1s", "1s", "share = 1")},
      {Invariant::slowStart,
       fault("host_replace", "1s", "0s", "share = 0.25"),
       {"plan.0.ceiling_rate=0", "clients.rate=900"}},
      {Invariant::ceiling, "", {"clients.skew=2"}},
  };
  for (const Case& testCase : cases) {
    INFO(wordOf(testCase.rule));
    const Scenario scenario = readScenario(kBaseScenario + testCase.faults, "s.toml", testCase.changes);
    const Metrics metrics =
        play(scenario, 1, Policy::gatewayCore,
             [&](const config::GatewayConfig& config, TimePoint, core::DeadlineQueue& deadlines,
                 core::Transport& transport, const GroundTruth&) {
               return std::make_unique<FaultyGateway>(testCase.rule, config, deadlines, transport);
             });
    CHECK(metrics.violations[static_cast<std::size_t>(testCase.rule)] > 0);
    bool reported = false;
    for (const Violation& violation : metrics.firstViolations)
      reported = reported || (violation.rule == testCase.rule && violation.at > TimePoint{} &&
                              (violation.attemptId.value > 0 || testCase.rule == Invariant::slowStart) &&
                              !violation.what.empty());
    CHECK(reported);
    CHECK(play(scenario, 1, Policy::gatewayCore).violationCount() == 0);  // no false violations
  }
}

TEST_CASE("quotas hold across the whole fleet, and requests inside their quota are still served") {
  // Customers request twice their quotas, spread evenly over all gateways. With 3 gateways each sees a
  // customer often, with 60 seldom.
  const auto [gateways, maxRatio] = GENERATE(table<std::string, double>({{"3", 0.15}, {"60", 0.8}}));
  const Scenario scenario =
      readScenario(kBaseScenario, "s.toml",
                   {"fleet.gateways=" + gateways, "clients.spread=" + gateways, "length=8s",
                    "clients.rate=500", "clients.customers=60", "hosts.count=12", "hosts.cores=8",
                    "plan.0.rate=4", "plan.0.burst=12", "plan.0.ceiling_rate=0"});
  const auto overQuotaShare = [](const Metrics& metrics) {
    return metrics.unitsOverQuota / metrics.unitsSent;
  };
  const Metrics gatewayCore = play(scenario, 3, Policy::gatewayCore);
  const Metrics admitAll = play(scenario, 3, Policy::admitAll);
  const Metrics omniscient = play(scenario, 3, Policy::omniscient);
  CHECK(overQuotaShare(admitAll) > 0.3);  // the load must exceed the quotas for the test to be meaningful
  CHECK(overQuotaShare(omniscient) < 0.02);
  CHECK(overQuotaShare(gatewayCore) < maxRatio * overQuotaShare(admitAll));
  CHECK(gatewayCore.utilityServed > 0.9 * omniscient.utilityServed);
  CHECK(gatewayCore.violationCount() == 0);
}

TEST_CASE("the time limit for an answer counts from when the gateway has received the whole request") {
  const Scenario scenario = readScenario(kBaseScenario, "s.toml");  // the answer slack is 50 ms
  InvariantChecker checker(scenario);
  const auto answeredAfter = [&](std::uint64_t id, TimePoint taken, TimePoint answered) {
    checker.requestReceived(taken, {id}, {{0}, 0, 0, 1, 1, TimePoint(2s)});
    checker.requestAnswered(answered, {id}, Answer::rejected);
    return checker.count(Invariant::lost);
  };
  CHECK(answeredAfter(1, TimePoint(1s), TimePoint(2s) + 50ms) == 0);
  CHECK(answeredAfter(2, TimePoint(2s) + 80ms, TimePoint(2s) + 80ms) == 0);  // received after its deadline
  CHECK(answeredAfter(3, TimePoint(1s), TimePoint(2s) + 51ms) == 1);
  CHECK(answeredAfter(4, TimePoint(2s) + 80ms, TimePoint(2s) + 131ms) == 2);
}

TEST_CASE("the gateway core keeps all invariants under every kind of fault, alone and combined") {
  const std::vector<std::string> kinds{
      "gateway_kill",   "gateway_restart", "host_kill",        "host_hang",        "host_slow",
      "host_err",       "host_vanish",     "host_replace",     "zone_cut",         "zone_loss",
      "discovery_down", "discovery_late",  "discovery_refuse", "discovery_mangle", "counter_down",
      "counter_slow",   "counter_empty",   "counter_split",    "counter_lose",     "net_loss",
      "net_slow",       "load_burst"};
  std::string allFaults;
  for (const std::string& kind : kinds) {
    const bool isProbability = kind == "host_err" || kind == "counter_lose" || kind == "net_loss";
    const std::string faultText =
        fault(kind, "1s", "3s",
              "share = 0.5\nfactor = " + std::string(isProbability ? "0.2" : "3") + "\nsteps = 2");
    INFO(kind);
    const Metrics metrics = play(readScenario(kBaseScenario + faultText, "s.toml"), 3, Policy::gatewayCore);
    for (const Violation& violation : metrics.firstViolations)
      UNSCOPED_INFO(seconds(violation.at.time_since_epoch())
                    << " " << wordOf(violation.rule) << " " << violation.what);
    CHECK(metrics.violationCount() == 0);
    CHECK(metrics.requests == metrics.inTime + metrics.late + metrics.failed + metrics.abandoned);
    if (kind != "load_burst") allFaults += faultText;
  }
  const Metrics metrics = play(readScenario(kBaseScenario + allFaults, "s.toml"), 4, Policy::gatewayCore);
  for (const Violation& violation : metrics.firstViolations)
    WARN(wordOf(violation.rule) << " " << violation.what);
  CHECK(metrics.violationCount() == 0);
}

TEST_CASE("scenarios with extreme settings run to their end") {
  const auto playWith = [](const std::vector<std::string>& changes, const std::string& extraText = "") {
    return play(readScenario(kBaseScenario + extraText, "s.toml", changes), 1, Policy::gatewayCore);
  };
  CHECK(playWith({"hosts.count=0"}).inTime == 0);
  CHECK(playWith({"hosts.count=0"}).violationCount() == 0);
  CHECK(playWith({"fleet.gateways=1", "clients.spread=1"}).violationCount() == 0);
  const Metrics withoutCounter = playWith({"counter.present=false"});
  CHECK(withoutCounter.counterCalls == 0);
  CHECK(withoutCounter.violationCount() == 0);
  CHECK(playWith({"clients.rate=0"}).requests == 0);
  CHECK(playWith({}, fault("host_kill", "2s", "0s", "share = 1")).violationCount() ==
        0);  // ends as it begins
  CHECK(playWith({}, fault("gateway_kill", "2s", "0s", "share = 1")).violationCount() == 0);
  CHECK(playWith({"clients.abandon_probability=0.5"}).abandoned > 0);
}

TEST_CASE("the invariant checker remembers only requests in flight") {
  const Scenario scenario = readScenario(kBaseScenario, "s.toml", {"length=30s", "clients.rate=300"});
  const Metrics metrics = play(scenario, 1, Policy::gatewayCore);
  CHECK(metrics.requests > 8'000);
  CHECK(metrics.maxInFlight < 200);
}
