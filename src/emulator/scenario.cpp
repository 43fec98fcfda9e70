#include "emulator/scenario.hpp"

#include <fmt/format.h>
#include <toml++/toml.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <iterator>
#include <utility>

#include "config/toml_table.hpp"

namespace merlinbridge::emulator {
namespace {

using config::TomlTable;

constexpr std::array kFaultKinds = std::to_array<std::pair<std::string_view, FaultKind>>({
    {"gateway_kill", FaultKind::gatewayKill},
    {"gateway_restart", FaultKind::gatewayRestart},
    {"host_kill", FaultKind::hostKill},
    {"host_hang", FaultKind::hostHang},
    {"host_slow", FaultKind::hostSlow},
    {"host_err", FaultKind::hostErr},
    {"host_vanish", FaultKind::hostVanish},
    {"host_replace", FaultKind::hostReplace},
    {"zone_cut", FaultKind::zoneCut},
    {"zone_loss", FaultKind::zoneLoss},
    {"discovery_down", FaultKind::discoveryDown},
    {"discovery_late", FaultKind::discoveryLate},
    {"discovery_refuse", FaultKind::discoveryRefuse},
    {"discovery_mangle", FaultKind::discoveryMangle},
    {"counter_down", FaultKind::counterDown},
    {"counter_slow", FaultKind::counterSlow},
    {"counter_empty", FaultKind::counterEmpty},
    {"counter_split", FaultKind::counterSplit},
    {"counter_lose", FaultKind::counterLose},
    {"net_loss", FaultKind::netLoss},
    {"net_slow", FaultKind::netSlow},
    {"load_burst", FaultKind::loadBurst},
});

// "path=value" over the text: the path's last word is a key, a number in it counts entries from 0.
void change(toml::table& root, const std::string& what) {
  const auto equals = what.find('=');
  const auto fail = [&what](std::string_view why) {
    throw BadScenario(fmt::format("change '{}': {}", what, why));
  };
  if (equals == std::string::npos) fail("expected path=value");
  toml::table value;
  try {
    value = toml::parse("v = " + what.substr(equals + 1));
  } catch (const toml::parse_error&) {
    try {
      value = toml::parse("v = \"" + what.substr(equals + 1) + "\"");
    } catch (const toml::parse_error& e) {
      fail(e.description());
    }
  }
  std::istringstream path(what.substr(0, equals));
  std::vector<std::string> words;
  for (std::string word; std::getline(path, word, '.');) words.push_back(word);
  if (words.empty()) fail("expected path=value");
  toml::node* at = &root;
  for (std::size_t n = 0; n + 1 < words.size(); ++n) {
    toml::node* next = nullptr;
    if (toml::table* const table = at->as_table()) {
      next = table->get(words[n]);
      if (!next) next = &table->insert(words[n], toml::table{}).first->second;
    } else if (toml::array* const array = at->as_array()) {
      std::size_t index = 0;
      const auto [end, error] = std::from_chars(words[n].data(), words[n].data() + words[n].size(), index);
      if (error != std::errc{} || end != words[n].data() + words[n].size()) fail("expected a number");
      next = array->get(index);
    }
    if (!next) fail("there is no '" + words[n] + "'");
    at = next;
  }
  toml::table* const table = at->as_table();
  if (!table) fail("no table to change");
  table->insert_or_assign(words.back(), *value.get("v"));
}

std::uint64_t hashOf(std::string_view text) {
  std::uint64_t hash = 1469598103934665603u;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211u;
  return hash;
}

constexpr std::array kRepeats =
    std::to_array<std::pair<std::string_view, Repeat>>({{"idempotent", Repeat::idempotent},
                                                        {"deduplicated", Repeat::deduplicated},
                                                        {"non-idempotent", Repeat::nonIdempotent}});
constexpr std::array kGroups = std::to_array<std::pair<std::string_view, Group>>(
    {{"all", Group::all}, {"zone", Group::zone}, {"cell", Group::cell}});

Duration ms(int n) {
  return std::chrono::milliseconds(n);
}

void readFaults(TomlTable& root, Scenario& s) {
  for (TomlTable& t : root.parts("fault")) {
    Fault f{};
    f.kind = t.oneOf<FaultKind>("kind", {}, kFaultKinds);
    f.from = t.range("from", {});
    f.lasts = t.range("lasts", Range{});
    f.share = t.number("share", 1, 0, 1);
    f.factor = t.number("factor", 1, 0, 1000);
    f.steps = t.whole<int>("steps", 1, 1, 10'000);
    if (f.from.least > seconds(s.length)) t.blame("from", "a time within the length of the scenario");
    t.done();
    s.faults.push_back(f);
  }
}

}  // namespace

std::string_view wordOf(FaultKind kind) {
  for (const auto& [word, value] : kFaultKinds)
    if (value == kind) return word;
  return "none";
}

std::string textOfFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) throw BadScenario(path + ": cannot be read");
  return {std::istreambuf_iterator<char>(file), {}};
}

// NOLINTNEXTLINE(readability-function-size): split in part two (issue 30)
Scenario readScenario(const std::string& text, const std::string& file,
                      const std::vector<std::string>& changes) {
  toml::table root = config::parse(text, file);
  for (const std::string& one : changes) change(root, one);

  Scenario s;
  TomlTable t(root, "", file);
  s.name = t.text("name");
  s.length = t.duration("length", {});

  TomlTable fleet = t.part("fleet");
  s.gateways = fleet.whole<std::uint32_t>("gateways", {}, 1, 4096);
  s.zones = fleet.whole<std::uint32_t>("zones", 1, 1, 1024);
  s.restart = fleet.duration("restart", ms(300));
  s.notice = fleet.duration("notice", ms(1000));
  fleet.done();

  TomlTable hosts = t.part("hosts");
  s.hosts = hosts.whole<std::uint32_t>("count", {}, 0, 16'384);
  s.cores = hosts.whole<int>("cores", 4, 1, 4096);
  s.room = hosts.whole<int>("room", 64, 0, 1'000'000);
  s.connections = hosts.whole<int>("connections", 1000, 1, 1'000'000);
  s.idle = hosts.duration("idle", ms(10'000));
  s.cold = hosts.duration("cold", ms(8000));
  s.startCapacity = hosts.number("cold_share", 0.25, 0.001, 1);
  s.tip = hosts.duration("tip", ms(1000));
  s.overloadMultiple = hosts.number("tip_multiple", 2, 0.1, 1000);
  s.stopsCancelled = hosts.flag("stops_cancelled", true);
  s.reports = hosts.flag("reports", true);
  hosts.done();

  TomlTable network = t.part("network");
  s.delay = network.duration("delay", std::chrono::microseconds(400));
  s.jitter = network.duration("jitter", std::chrono::microseconds(200));
  s.loss = network.number("loss", 0, 0, 1);
  s.connectTimeout = network.duration("connect_patience", ms(250));
  network.done();

  TomlTable clients = t.part("clients");
  s.rate = clients.number("rate", {}, 0, 10'000'000);
  s.customers = clients.whole<std::uint32_t>("customers", 100, 1, 10'000'000);
  s.skew = clients.number("skew", 0.8, 0, 4);
  s.units = clients.number("units", 1, 0, 1000);
  s.spread = clients.whole<std::uint32_t>("spread", 3, 1, 4096);
  s.tries = clients.whole<int>("tries", 3, 1, 100);
  s.wait = clients.duration("wait", ms(100));
  s.heedsAdvice = clients.number("heeds_advice", 0.8, 0, 1);
  s.leaves = clients.number("leaves", 0, 0, 1);
  clients.done();

  for (TomlTable& m : t.parts("method")) {
    ScenarioMethod method{};
    method.name = m.text("name");
    method.repeat = m.oneOf<Repeat>("repeat", Repeat::idempotent, kRepeats);
    method.group = m.oneOf<Group>("group", Group::all, kGroups);
    method.window = m.duration("window", ms(4000));
    method.soft = m.duration("soft", ms(500));
    method.deadline = m.duration("deadline", ms(2000));
    method.work = m.duration("work", ms(8));
    method.share = m.number("share", 1, 0, 1e6);
    method.utility = m.number("utility", 1, 0, 1e6);
    if (method.deadline < method.soft) m.blame("deadline", "a time no shorter than the soft deadline");
    m.done();
    s.methods.push_back(method);
  }
  if (s.methods.empty()) throw BadScenario(file + ":1:1: expected at least one [[method]]");

  for (TomlTable& p : t.parts("plan")) {
    ScenarioPlan plan{};
    plan.name = p.text("name");
    plan.plan.rate = p.number("rate", 0, 0, 1e9);
    plan.plan.burst = p.number("burst", plan.plan.rate, 0, 1e9);
    plan.plan.open = p.whole<int>("open", 0, 0, 1'000'000);
    plan.plan.ceilingRate = p.number("ceiling_rate", 0, 0, 1e9);
    plan.plan.ceilingBurst = p.number("ceiling_burst", plan.plan.ceilingRate, 0, 1e9);
    plan.plan.ceilingSlack = p.number("ceiling_slack", 0, 0, 1e9);
    plan.plan.price = p.number("price", 1, 0, 1e6);
    plan.share = p.number("share", 1, 0, 1e6);
    p.done();
    s.plans.push_back(plan);
  }
  if (s.plans.empty()) s.plans.push_back({"free", {0, 0, 0, 0, 0, 0, 1}, 1});

  TomlTable counter = t.part("counter");
  s.counter = counter.flag("present", true);
  s.counterParts = counter.whole<int>("parts", 1, 1, 1024);
  s.counterRoom = counter.whole<int>("room", 500, 1, 1'000'000);
  s.counterService = counter.duration("service", std::chrono::microseconds(200));
  s.counterTimeout = counter.duration("patience", ms(100));
  counter.done();

  TomlTable discovery = t.part("discovery");
  s.told = discovery.duration("told", ms(100));
  s.indented = discovery.flag("indented", false);
  discovery.done();

  TomlTable rules = t.part("rules");
  s.drainGrace = rules.duration("drain_grace", ms(500));
  s.answerSlack = rules.duration("answer_slack", ms(50));
  s.maxRetryAfter = rules.duration("longest_advice", ms(2000));
  s.allowCancel = rules.flag("may_cancel", true);
  s.allowHedging = rules.flag("may_copy", false);
  s.maxAttempts = rules.whole<std::uint32_t>("most_call_outs", 3, 1, 100);
  rules.done();

  readFaults(t, s);
  t.done();
  // The hash is of what is played: the same words in another order, or a change that changes nothing, keep
  // it.
  s.hash = hashOf(writeScenario(s));
  return s;
}

Duration Scenario::longestDeadline() const {
  Duration longest{0};
  for (const ScenarioMethod& m : methods) longest = std::max(longest, m.deadline);
  return longest;
}

config::GatewayConfig Scenario::config() const {
  config::GatewayConfig o{};
  o.sockets = 1024;
  for (const ScenarioMethod& m : methods) {
    o.settings.methods.push_back({m.repeat, m.group, m.window, m.soft, m.utility});
    o.methods.push_back(m.name);
  }
  for (const ScenarioPlan& p : plans) {
    o.settings.plans.push_back(p.plan);
    o.plans.push_back(p.name);
  }
  for (std::uint32_t z = 0; z < zones; ++z) o.zones.push_back(fmt::format("z{}", z));
  o.machines = {"m"};
  o.settings.gateways = gateways;
  o.settings.counter = counter;
  o.settings.counterTimeout = counterTimeout;
  o.settings.maxUnits = std::max(1.0, 4 * units);
  o.settings.allowCancel = allowCancel, o.settings.allowHedging = allowHedging,
  o.settings.allowRetryAfter = true;
  o.settings.maxAttempts = maxAttempts;
  o.settings.maxRetryAfter = maxRetryAfter, o.settings.connectTimeout = connectTimeout;
  o.settings.startCapacity = startCapacity, o.settings.overloadMultiple = overloadMultiple;
  o.settings.slowStartTime = cold, o.settings.overloadWindow = tip;
  o.idle = idle, o.answerSlack = answerSlack, o.longestDeadline = longestDeadline();
  o.drainGrace = drainGrace;
  return o;
}

// NOLINTNEXTLINE(readability-function-size): split in part two (issue 30)
std::string writeScenario(const Scenario& s) {
  std::string out;
  const auto line = [&out](std::string_view key, const auto& value) {
    fmt::format_to(std::back_inserter(out), "{} = {}\n", key, value);
  };
  const auto word = [&out](std::string_view key, std::string_view value) {
    out += std::string(key) + " = \"";
    for (const char c : value) {
      if (c == '"' || c == '\\') out += '\\';
      if (static_cast<unsigned char>(c) < 0x20) {
        out += fmt::format("\\u{:04x}", static_cast<unsigned>(c));
        continue;
      }
      out += c;
    }
    out += "\"\n";
  };
  const auto time = [&word](std::string_view key, Duration value) {
    const auto ns = value.count();
    word(key, ns % 1'000'000'000 == 0 ? fmt::format("{}s", ns / 1'000'000'000)
              : ns % 1'000'000 == 0   ? fmt::format("{}ms", ns / 1'000'000)
                                      : fmt::format("{}ns", ns));
  };
  const auto range = [&line](std::string_view key, Range r) {
    line(key, r.least == r.most ? fmt::format("\"{}s\"", r.least)
                                : fmt::format("[\"{}s\", \"{}s\"]", r.least, r.most));
  };
  word("name", s.name);
  time("length", s.length);
  out += "\n[fleet]\n";
  line("gateways", s.gateways), line("zones", s.zones);
  time("restart", s.restart), time("notice", s.notice);
  out += "\n[hosts]\n";
  line("count", s.hosts), line("cores", s.cores), line("room", s.room);
  line("connections", s.connections), time("idle", s.idle), time("cold", s.cold);
  line("cold_share", s.startCapacity), time("tip", s.tip), line("tip_multiple", s.overloadMultiple);
  line("stops_cancelled", s.stopsCancelled), line("reports", s.reports);
  out += "\n[network]\n";
  time("delay", s.delay), time("jitter", s.jitter), line("loss", s.loss);
  time("connect_patience", s.connectTimeout);
  out += "\n[clients]\n";
  line("rate", s.rate), line("customers", s.customers), line("skew", s.skew), line("units", s.units);
  line("spread", s.spread), line("tries", s.tries), time("wait", s.wait);
  line("heeds_advice", s.heedsAdvice), line("leaves", s.leaves);
  for (const ScenarioMethod& m : s.methods) {
    out += "\n[[method]]\n";
    word("name", m.name);
    for (const auto& [text, value] : kRepeats)
      if (value == m.repeat) word("repeat", text);
    for (const auto& [text, value] : kGroups)
      if (value == m.group) word("group", text);
    time("window", m.window), time("soft", m.soft), time("deadline", m.deadline), time("work", m.work);
    line("share", m.share), line("utility", m.utility);
  }
  for (const ScenarioPlan& p : s.plans) {
    out += "\n[[plan]]\n";
    word("name", p.name);
    line("rate", p.plan.rate), line("burst", p.plan.burst), line("open", p.plan.open);
    line("ceiling_rate", p.plan.ceilingRate), line("ceiling_burst", p.plan.ceilingBurst);
    line("ceiling_slack", p.plan.ceilingSlack), line("price", p.plan.price), line("share", p.share);
  }
  out += "\n[counter]\n";
  line("present", s.counter), line("parts", s.counterParts), line("room", s.counterRoom);
  time("service", s.counterService), time("patience", s.counterTimeout);
  out += "\n[discovery]\n";
  time("told", s.told), line("indented", s.indented);
  out += "\n[rules]\n";
  time("drain_grace", s.drainGrace), time("answer_slack", s.answerSlack);
  time("longest_advice", s.maxRetryAfter), line("may_cancel", s.allowCancel),
      line("may_copy", s.allowHedging);
  line("most_call_outs", s.maxAttempts);
  for (const Fault& f : s.faults) {
    out += "\n[[fault]]\n";
    word("kind", wordOf(f.kind));
    range("from", f.from), range("lasts", f.lasts);
    line("share", f.share), line("factor", f.factor), line("steps", f.steps);
  }
  return out;
}

}  // namespace merlinbridge::emulator
