#include <toml++/toml.h>

#include "config/toml_table.hpp"
#include "emulator/scenario.hpp"
#include "emulator/scenario_keys.hpp"
#include "emulator/scenario_words.hpp"

namespace merlinbridge::emulator {
namespace {

using config::TomlTable;
using std::chrono::microseconds;
using std::chrono::milliseconds;

void readFleet(TomlTable fleet, Scenario& scenario) {
  scenario.gateways = fleet.integer<std::uint32_t>("gateways", {}, 1, 4096);
  scenario.zones = fleet.integer<std::uint32_t>("zones", 1, 1, 1024);
  scenario.restartDelay = fleet.duration("restart", milliseconds(300));
  scenario.failureDetectionDelay = fleet.duration("notice", milliseconds(1000));
  fleet.rejectUnknownKeys();
}

void readHosts(TomlTable hosts, Scenario& scenario) {
  scenario.hosts = hosts.integer<std::uint32_t>("count", {}, 0, 16'384);
  scenario.cores = hosts.integer<int>("cores", 4, 1, 4096);
  scenario.queueCapacity = hosts.integer<int>("queue_capacity", 64, 0, 1'000'000);
  scenario.maxConnectionsPerHost = hosts.integer<int>("connections", 1000, 1, 1'000'000);
  scenario.idleTimeout = hosts.duration("idle", milliseconds(10'000));
  scenario.slowStartTime = hosts.duration("slow_start_time", milliseconds(8000));
  scenario.startCapacity = hosts.number("start_capacity", 0.25, 0.001, 1);
  scenario.overloadWindow = hosts.duration("overload_window", milliseconds(1000));
  scenario.overloadMultiple = hosts.number("overload_multiple", 2, 0.1, 1000);
  scenario.stopsCancelled = hosts.flag("stops_cancelled", true);
  scenario.reportsLoad = hosts.flag("reports", true);
  hosts.rejectUnknownKeys();
}

void readNetwork(TomlTable network, Scenario& scenario) {
  scenario.delay = network.duration("delay", microseconds(400));
  scenario.jitter = network.duration("jitter", microseconds(200));
  scenario.loss = network.number("loss", 0, 0, 1);
  scenario.connectTimeout = network.duration("connect_timeout", milliseconds(250));
  network.rejectUnknownKeys();
}

void readClients(TomlTable clients, Scenario& scenario) {
  scenario.rate = clients.number("rate", {}, 0, 10'000'000);
  scenario.customers = clients.integer<std::uint32_t>("customers", 100, 1, 10'000'000);
  scenario.skew = clients.number("skew", 0.8, 0, 4);
  scenario.units = clients.number("units", 1, 0, 1000);
  scenario.spread = clients.integer<std::uint32_t>("spread", 3, 1, 4096);
  scenario.maxClientAttempts = clients.integer<int>("max_attempts", 3, 1, 100);
  scenario.initialBackoff = clients.duration("wait", milliseconds(100));
  scenario.honorsRetryAfter = clients.number("honors_retry_after", 0.8, 0, 1);
  scenario.abandonProbability = clients.number("abandon_probability", 0, 0, 1);
  clients.rejectUnknownKeys();
}

ScenarioMethod readMethod(TomlTable& table) {
  ScenarioMethod method{};
  method.name = table.string("name");
  method.idempotency = table.oneOf<Idempotency>("repeat", Idempotency::idempotent, kIdempotencyNames);
  method.deduplicationScope =
      table.oneOf<DeduplicationScope>("group", DeduplicationScope::all, kDeduplicationScopeNames);
  method.deduplicationWindow = table.duration("window", milliseconds(4000));
  method.softDeadline = table.duration("soft", milliseconds(500));
  method.deadline = table.duration("deadline", milliseconds(2000));
  method.work = table.duration("work", milliseconds(8));
  method.share = table.number("share", 1, 0, 1e6);
  method.utility = table.number("utility", 1, 0, 1e6);
  if (method.deadline < method.softDeadline)
    table.fail("deadline", "a time no shorter than the soft deadline");
  table.rejectUnknownKeys();
  return method;
}

ScenarioPlan readPlan(TomlTable& table) {
  ScenarioPlan plan{};
  plan.name = table.string("name");
  plan.plan.rate = table.number("rate", 0, 0, 1e9);
  plan.plan.burst = table.number("burst", plan.plan.rate, 0, 1e9);
  plan.plan.maxInFlight = table.integer<int>("open", 0, 0, 1'000'000);
  plan.plan.ceilingRate = table.number("ceiling_rate", 0, 0, 1e9);
  plan.plan.ceilingBurst = table.number("ceiling_burst", plan.plan.ceilingRate, 0, 1e9);
  plan.plan.ceilingSlack = table.number("ceiling_slack", 0, 0, 1e9);
  plan.plan.price = table.number("price", 1, 0, 1e6);
  plan.share = table.number("share", 1, 0, 1e6);
  table.rejectUnknownKeys();
  return plan;
}

// All kinds of faults have the same keys; keys that a kind does not use have no effect.
Fault readFault(TomlTable& table, const Scenario& scenario) {
  Fault fault{};
  fault.kind = table.oneOf<FaultKind>("kind", {}, kFaultKindNames);
  fault.from = table.range("from", {});
  fault.duration = table.range("lasts", Range{});
  fault.share = table.number("share", 1, 0, 1);
  fault.factor = table.number("factor", 1, 0, 1000);
  fault.steps = table.integer<int>("steps", 1, 1, 10'000);
  if (fault.from.min > seconds(scenario.length))
    table.fail("from", "a time within the length of the scenario");
  table.rejectUnknownKeys();
  return fault;
}

void readCounter(TomlTable counter, Scenario& scenario) {
  scenario.hasCounter = counter.flag("present", true);
  scenario.counterPartitions = counter.integer<int>("parts", 1, 1, 1024);
  scenario.counterQueueCapacity = counter.integer<int>("queue_capacity", 500, 1, 1'000'000);
  scenario.counterServiceTime = counter.duration("service", microseconds(200));
  scenario.counterTimeout = counter.duration("timeout", milliseconds(100));
  counter.rejectUnknownKeys();
}

void readDiscovery(TomlTable discovery, Scenario& scenario) {
  scenario.notificationDelay = discovery.duration("notification_delay", milliseconds(100));
  scenario.indentedLists = discovery.flag("indented", false);
  discovery.rejectUnknownKeys();
}

void readRules(TomlTable rules, Scenario& scenario) {
  scenario.drainGrace = rules.duration("drain_grace", milliseconds(500));
  scenario.answerSlack = rules.duration("answer_slack", milliseconds(50));
  scenario.maxRetryAfter = rules.duration("max_retry_after", milliseconds(2000));
  scenario.allowCancel = rules.flag("allow_cancel", true);
  scenario.allowHedging = rules.flag("allow_hedging", false);
  scenario.maxAttempts = rules.integer<std::uint32_t>("max_attempts", 3, 1, 100);
  rules.rejectUnknownKeys();
}

std::uint64_t hashOf(std::string_view text) {
  std::uint64_t hash = 1469598103934665603u;  // FNV-1a
  for (const char letter : text) hash = (hash ^ static_cast<unsigned char>(letter)) * 1099511628211u;
  return hash;
}

}  // namespace

Scenario readScenario(const std::string& text, const std::string& file,
                      const std::vector<std::string>& changes) {
  Scenario scenario;
  toml::table root = config::parse(text, file);
  renameKeys(root, file, scenario.warnings);
  for (const std::string& change : changes) applyChange(root, change, scenario.warnings);

  TomlTable table(root, "", file);
  scenario.name = table.string("name");
  scenario.length = table.duration("length", {});
  readFleet(table.section("fleet"), scenario);
  readHosts(table.section("hosts"), scenario);
  readNetwork(table.section("network"), scenario);
  readClients(table.section("clients"), scenario);
  for (TomlTable& method : table.sections("method")) scenario.methods.push_back(readMethod(method));
  if (scenario.methods.empty()) throw ScenarioError(file + ":1:1: expected at least one [[method]]");
  for (TomlTable& plan : table.sections("plan")) scenario.plans.push_back(readPlan(plan));
  if (scenario.plans.empty()) scenario.plans.push_back({"free", {0, 0, 0, 0, 0, 0, 1}, 1});
  readCounter(table.section("counter"), scenario);
  readDiscovery(table.section("discovery"), scenario);
  readRules(table.section("rules"), scenario);
  for (TomlTable& fault : table.sections("fault")) scenario.faults.push_back(readFault(fault, scenario));
  table.rejectUnknownKeys();
  // The hash covers the values that the run uses: neither the order of keys, nor old names, nor a change to
  // the same value alters it.
  scenario.hash = hashOf(writeScenario(scenario));
  return scenario;
}

}  // namespace merlinbridge::emulator
