// The laboratory: plays scenarios in the emulator, keeps what they came to as tables, compares them and draws
// them.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <iostream>
#include <mutex>
#include <thread>

#include "lab/chart.hpp"
#include "lab/shrink.hpp"

namespace merlinbridge::lab {
namespace {

using emulator::Metrics;
using emulator::Policy;
using emulator::Scenario;

Policy policyOf(const std::string& word) {
  if (const auto policy = emulator::policyNamed(word)) return *policy;
  throw Unfit("no policy '" + word + "': expected module, all, even or truth");
}

// "1..5" or "1,4,9".
std::vector<std::uint64_t> seedsOf(const std::string& text) {
  std::vector<std::uint64_t> seeds;
  const auto number = [&text](const std::string& word) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
    if (error != std::errc{} || end != word.data() + word.size())
      throw Unfit("seeds '" + text + "': expected 1..5 or 1,4,9");
    return value;
  };
  if (const auto dots = text.find(".."); dots != std::string::npos) {
    const auto first = number(text.substr(0, dots)), last = number(text.substr(dots + 2));
    if (first > last || last - first >= 100'000)
      throw Unfit("seeds '" + text + "': expected the lesser first");
    for (auto seed = first; seed <= last; ++seed) seeds.push_back(seed);
    return seeds;
  }
  std::istringstream words(text);
  for (std::string word; std::getline(words, word, ',');) seeds.push_back(number(word));
  if (seeds.empty()) throw Unfit("no seeds given");
  return seeds;
}

std::string summary(const Scenario& s, std::uint64_t seed, Policy policy, const Metrics& t) {
  std::string out =
      fmt::format("{} ({:016x}), seed {}, {}: emulated\n", s.name, s.hash, seed, wordOf(policy));
  for (const auto& [name, value] : emulator::figuresOf(t))
    out += fmt::format("  {:<16} {:.6g}\n", name, value);
  out += fmt::format("  {:<16} {}\n  {:<16} {:016x}\n", "events", t.events, "print", t.print);
  for (const emulator::Violation& b : t.first)
    out += fmt::format("RULE BROKEN at {:.4f} s: {}, request {}: {}\n", seconds(b.at.time_since_epoch()),
                       wordOf(b.rule), b.attemptId.value, b.what);
  return out;
}

int run(const std::string& file, std::uint64_t seed, const std::string& policyWord,
        const std::vector<std::string>& changes, const std::string& out) {
  const Scenario s = emulator::readScenario(emulator::textOfFile(file), file, changes);
  const Policy policy = policyOf(policyWord);
  const Metrics t = emulator::play(s, seed, policy);
  std::cout << summary(s, seed, policy, t);
  if (!out.empty()) {
    std::filesystem::create_directories(out);
    putFile(out + "/scenario.toml", emulator::writeScenario(s));
    putFile(out + "/runs.csv", writeTable({rowOf(s, seed, policy, t)}));
    putFile(out + "/timeline.csv", timeline(t));
  }
  return t.broken() > 0 ? 1 : 0;
}

// NOLINTNEXTLINE(readability-function-size): split in part two (issue 30)
int sweep(const std::string& file, const std::vector<std::string>& fields, const std::string& seedText,
          const std::vector<std::string>& policyWords, const std::vector<std::string>& changes, unsigned jobs,
          const std::string& out) {
  struct Plan {
    Scenario scenario;
    std::map<std::string, std::string> fields;
    std::uint64_t seed;
    Policy policy;
  };
  const std::string text = emulator::textOfFile(file);
  std::vector<std::map<std::string, std::string>> settings{{}};
  for (const std::string& field : fields) {
    const auto equals = field.find('=');
    if (equals == std::string::npos) throw Unfit("field '" + field + "': expected path=value,value");
    std::vector<std::map<std::string, std::string>> grown;
    for (const auto& before : settings) {
      std::istringstream values(field.substr(equals + 1));
      for (std::string value; std::getline(values, value, ',');) {
        grown.push_back(before);
        grown.back()[field.substr(0, equals)] = value;
      }
    }
    settings = std::move(grown);
  }
  std::vector<Plan> plans;
  for (const auto& setting : settings) {
    std::vector<std::string> all = changes;
    for (const auto& [path, value] : setting) all.push_back(fmt::format("{}={}", path, value));
    const Scenario s = emulator::readScenario(text, file, all);
    for (const std::string& word : policyWords)
      for (const std::uint64_t seed : seedsOf(seedText)) plans.push_back({s, setting, seed, policyOf(word)});
  }
  std::vector<Row> rows(plans.size());
  std::atomic<std::size_t> next = 0, done = 0;
  std::atomic<std::uint64_t> broken = 0;
  std::mutex telling;
  std::exception_ptr failed;
  std::vector<std::thread> threads;
  for (unsigned n = 0; n < std::max(1u, jobs); ++n)
    threads.emplace_back([&] {
      for (std::size_t at = 0; (at = next++) < plans.size();) {
        const Plan& plan = plans[at];
        try {
          const Metrics t = emulator::play(plan.scenario, plan.seed, plan.policy);
          rows[at] = rowOf(plan.scenario, plan.seed, plan.policy, t);
          rows[at].fields = plan.fields;
          broken += t.broken();
        } catch (...) {
          const std::lock_guard lock(telling);
          if (!failed) failed = std::current_exception();
          next = plans.size();
        }
        const std::lock_guard lock(telling);
        std::cerr << '\r' << ++done << " of " << plans.size() << " runs" << std::flush;
      }
    });
  for (std::thread& thread : threads) thread.join();
  std::cerr << '\n';
  if (failed) std::rethrow_exception(failed);
  const auto folder = std::filesystem::path(out).parent_path();
  if (!folder.empty()) std::filesystem::create_directories(folder);
  putFile(out, writeTable(rows));
  std::cout << rows.size() << " runs in " << out << ", rules broken " << broken << " times\n";
  return broken > 0 ? 1 : 0;
}

int comparing(const std::string& first, const std::string& second, const std::vector<std::string>& figures) {
  const auto a = readTable(emulator::textOfFile(first), first),
             b = readTable(emulator::textOfFile(second), second);
  for (const std::string& figure : figures) {
    const Compared c = compare(a, b, figure);
    std::cout << fmt::format("{:<14} {:.5g} -> {:.5g}: {}\n", figure, c.first.mean, c.second.mean,
                             c.verdict());
  }
  return 0;
}

int shrinking(const std::string& file, std::uint64_t seed, const std::string& policyWord,
              const std::string& rule, const std::vector<std::string>& changes, std::size_t most,
              const std::string& out) {
  const Scenario s = emulator::readScenario(emulator::textOfFile(file), file, changes);
  const Policy policy = policyOf(policyWord);
  std::optional<std::size_t> wanted;
  for (std::size_t r = 0; r < emulator::kInvariants; ++r)
    if (wordOf(static_cast<emulator::Invariant>(r)) == rule) wanted = r;
  if (!wanted && rule != "any")
    throw Unfit("no rule '" + rule + "': expected any, lost, twice, drain, cold or ceiling");
  std::size_t tried = 0;
  const Scenario least = shrink(
      s,
      [&](const Scenario& each) {
        const Metrics t = emulator::play(each, seed, policy);
        return wanted ? t.violations[*wanted] > 0 : t.broken() > 0;
      },
      most, tried);
  putFile(out, emulator::writeScenario(least));
  std::cout << fmt::format(
      "{} after {} plays: {} gateways, {} hosts, {} faults, {:.3g} s, {:g} requests a second\n", out, tried,
      least.gateways, least.hosts, least.faults.size(), seconds(least.length), least.rate);
  return 0;
}

int report(const std::string& table, const std::string& field, const std::vector<std::string>& figures,
           bool logX, const std::string& out) {
  const auto rows = readTable(emulator::textOfFile(table), table);
  std::filesystem::create_directories(out);
  for (const std::string& figure : figures) {
    const std::string path = fmt::format("{}/{}.svg", out, figure);
    putFile(path, draw(chartOf(rows, field, figure, logX)));
    std::cout << path << '\n';
  }
  return 0;
}

}  // namespace

// NOLINTNEXTLINE(readability-function-size): split in part two (issue 30)
int serve(int argc, char** argv) {
  CLI::App app{"merlinbridge_lab: scenarios played in the emulator, as tables and charts"};
  app.require_subcommand(1);
  app.footer(
      "Exit codes: 0 done, 1 a rule was broken in a run, 2 nothing was run: bad words, file or scenario.");
  app.set_version_flag("--version", std::string(MERLINBRIDGE_VERSION));
  std::string file, second, out, policy = "module", seeds = "1..5", rule = "any", field;
  std::vector<std::string> changes, fields, policies{"module"}, figures{"worth"};
  std::uint64_t seed = 1;
  unsigned jobs = std::max(1u, std::thread::hardware_concurrency());
  std::size_t most = 200;
  bool logX = false;

  const auto common = [&](CLI::App* c) {
    c->add_option("scenario", file, "a scenario in TOML")->required();
    c->add_option("--set", changes, "path=value, over what the scenario says")->allow_extra_args(false);
  };
  CLI::App* const runs = app.add_subcommand("run", "plays one scenario once");
  common(runs);
  runs->add_option("--seed", seed, "the seed")->capture_default_str();
  runs->add_option("--policy", policy, "module, all, even or truth")->capture_default_str();
  runs->add_option("--out", out, "a folder for the run's tables");

  CLI::App* const sweeps = app.add_subcommand("sweep", "plays a scenario with fields changed, over seeds");
  common(sweeps);
  sweeps->add_option("--field", fields, "path=value,value,...; may be given again")->allow_extra_args(false);
  sweeps->add_option("--seeds", seeds, "as 1..5 or 1,4,9")->capture_default_str();
  sweeps->add_option("--policy", policies, "module, all, even or truth")
      ->delimiter(',')
      ->capture_default_str();
  sweeps->add_option("--jobs", jobs, "runs at a time")->capture_default_str();
  sweeps->add_option("--out", out, "the table")->required();

  CLI::App* const compares = app.add_subcommand("compare", "two tables, paired by seed and fields");
  compares->add_option("first", file, "a table")->required();
  compares->add_option("second", second, "another")->required();
  compares->add_option("--figure", figures, "figures to compare")->delimiter(',')->capture_default_str();

  CLI::App* const shrinks = app.add_subcommand("shrink", "the smallest scenario that still breaks a rule");
  common(shrinks);
  shrinks->add_option("--seed", seed, "the seed")->capture_default_str();
  shrinks->add_option("--policy", policy, "module, all, even or truth")->capture_default_str();
  shrinks->add_option("--rule", rule, "any, lost, twice, drain, cold or ceiling")->capture_default_str();
  shrinks->add_option("--most", most, "plays at most")->capture_default_str();
  shrinks->add_option("--out", out, "the scenario found")->required();

  CLI::App* const reports = app.add_subcommand("report", "draws figures of a table over one of its fields");
  reports->add_option("table", file, "a table of sweep's")->required();
  reports->add_option("--field", field, "the field along the axis")->required();
  reports->add_option("--figure", figures, "figures to draw")->delimiter(',')->capture_default_str();
  reports->add_flag("--log-x", logX, "a logarithmic axis");
  reports->add_option("--out", out, "a folder for the charts")->required();

  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? 0 : 2;
  }
  try {
    if (*runs) return run(file, seed, policy, changes, out);
    if (*sweeps) return sweep(file, fields, seeds, policies, changes, jobs, out);
    if (*compares) return comparing(file, second, figures);
    if (*shrinks) return shrinking(file, seed, policy, rule, changes, most, out);
    return report(file, field, figures, logX, out);
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return 2;
  }
}

}  // namespace merlinbridge::lab

int main(int argc, char** argv) {
  return merlinbridge::lab::serve(argc, argv);
}
