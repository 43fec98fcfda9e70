#include <unistd.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <sstream>

#include "lab/chart.hpp"
#include "lab/csv.hpp"
#include "lab/experiment_runner.hpp"
#include "lab/figure_titles.hpp"
#include "lab/scenario_shrinker.hpp"

using namespace merlinbridge;
using namespace merlinbridge::lab;

namespace {

Row row(std::uint64_t seed, double utilityServed, const std::string& gateways = "3") {
  return {"a \"name\", odd",
          "00ff",
          "1.0",
          "module",
          seed,
          {{"fleet.gateways", gateways}},
          {{"utility_served", utilityServed}}};
}

}  // namespace

TEST_CASE("a table reads back as it was written, and a truncated one is refused") {
  const std::vector<Row> rows{row(1, 0.5), row(2, 0.25, "30")};
  const std::string text = writeTable(rows);
  const auto read = readTable(text, "t.csv");
  REQUIRE(read.size() == 2);
  CHECK(read[0].scenario == rows[0].scenario);
  CHECK(read[1].seed == 2);
  CHECK(read[1].fields.at("fleet.gateways") == "30");
  CHECK(read[1].figures.at("utility_served") == 0.25);
  for (std::size_t cut = 0; cut < text.size(); ++cut)
    CHECK_THROWS_AS(readTable(text.substr(0, cut), "t"), LabError);
  std::string odd = text;
  odd.replace(odd.find("0.25"), 4, "many");
  CHECK_THROWS_WITH(readTable(odd, "t.csv"), "t.csv:3: expected a number, found 'many'");
}

TEST_CASE("a file is replaced in one step or not at all") {
  char folder[] = "/tmp/merlinbridge-lab-XXXXXX";
  REQUIRE(mkdtemp(folder));
  const std::string path = std::string(folder) + "/t.csv";
  replaceFile(path, "one");
  replaceFile(path, "two");
  std::ifstream file(path);
  CHECK(std::string(std::istreambuf_iterator<char>(file), {}) == "two");
  CHECK_THROWS_AS(replaceFile(std::string(folder) + "/none/t.csv", "x"), LabError);
  std::remove(path.c_str());
  ::rmdir(folder);
}

TEST_CASE("confidence intervals use Student's t, and a difference is claimed only outside of them") {
  const Estimate estimate = estimateOf({1, 2, 3, 4});
  CHECK(estimate.mean == Approx(2.5));
  CHECK(*estimate.halfWidth ==
        Approx(3.182 * std::sqrt(5.0 / 3 / 4)).epsilon(1e-3));  // t for 3 degrees of freedom, 95%
  CHECK_FALSE(estimateOf({1}).halfWidth);
  const std::vector<Row> before{row(1, 0.5), row(2, 0.9), row(3, 0.1), row(4, 0.4)};
  const std::vector<Row> higher{row(4, 0.51), row(1, 0.6), row(2, 1.0), row(3, 0.2), row(9, 5)};
  const Comparison comparison = compare(before, higher, "worth");
  CHECK(comparison.difference.count == 4);
  CHECK(comparison.difference.mean == Approx(0.1025));
  // The differences of the pairs vary less than the values in each table.
  CHECK(comparison.verdict().starts_with("higher by"));
  const std::vector<Row> noise{row(1, 0.6), row(2, 0.8), row(3, 0.2), row(4, 0.3)};
  CHECK(compare(before, noise, "utility_served").verdict().starts_with("no difference shown"));
  CHECK(compare({row(1, 1)}, {row(1, 2)}, "worth").verdict().starts_with("no difference shown"));
  CHECK_THROWS_AS(compare(before, {row(1, 1, "30")}, "worth"), LabError);
  CHECK_THROWS_AS(compare({row(1, 1), row(1, 2)}, before, "worth"), LabError);
}

TEST_CASE("a chart has axes with units, a series for each policy and an interval at each point") {
  std::vector<Row> rows;
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    for (const char* const gateways : {"3", "30", "300"})
      rows.push_back(row(seed, 0.1 * double(seed), gateways));
  rows[0].policy = "<even>";
  const std::string svg =
      renderSvg(chartOf(rows, "fleet.gateways", "utility_served", AxisScale::logarithmic));
  for (const char* const part : {"fleet.gateways (number)", "utility_served (fraction)", "&lt;even&gt;",
                                 "bars: 95% confidence intervals", ">30</text>", "emulated"})
    CHECK(svg.find(part) != std::string::npos);
  CHECK_THROWS_AS(chartOf(rows, "fleet.zones", "worth", AxisScale::linear), LabError);
  CHECK_THROWS_AS(
      renderSvg(chartOf({row(1, 1, "0")}, "fleet.gateways", "utility_served", AxisScale::logarithmic)),
      LabError);
  CHECK(axisTicks(0, 1, AxisScale::linear).size() >= 4);
  CHECK(axisTicks(3, 300, AxisScale::logarithmic) == std::vector<double>{3, 10, 30, 100, 300});
}

TEST_CASE("shrinking keeps what the behaviour needs and removes the rest") {
  emulator::Scenario scenario;
  scenario.gateways = 64;
  scenario.hosts = 40;
  scenario.customers = 1000;
  scenario.rate = 512;
  scenario.length = std::chrono::seconds(60);
  scenario.methods.resize(3);
  scenario.plans.resize(2);
  for (const auto kind :
       {emulator::FaultKind::hostSlow, emulator::FaultKind::zoneCut, emulator::FaultKind::counterDown})
    scenario.faults.push_back({kind, {4, 8}, {1, 1}, 1, 1, 1});
  const auto shows = [](const emulator::Scenario& each) {
    return each.gateways >= 5 &&
           std::any_of(each.faults.begin(), each.faults.end(), [](const emulator::Fault& fault) {
             return fault.kind == emulator::FaultKind::zoneCut;
           });
  };
  const emulator::Scenario least = shrink(scenario, shows, 1000).scenario;
  CHECK(least.gateways == 8);
  CHECK(least.hosts == 1);
  CHECK(least.faults.size() == 1);
  CHECK(least.methods.size() == 1);
  CHECK(least.plans.size() == 1);
  CHECK(least.length < std::chrono::seconds(5));
  CHECK(shows(least));
  CHECK(shrink(scenario, shows, 3).runs == 3);
  CHECK_THROWS_AS(shrink(
                      scenario, [](const emulator::Scenario&) { return false; }, 10),
                  LabError);
}

TEST_CASE("a table with the titles of an earlier version is read under the current ones, with one warning") {
  const std::string file = MERLINBRIDGE_SOURCE_DIR "/docs/experiments/counter.csv";
  std::vector<std::string> warnings;
  const auto rows = readTable(emulator::textOfFile(file), file,
                              [&warnings](const std::string& warning) { warnings.push_back(warning); });
  REQUIRE(rows.size() > 10);
  CHECK(rows[0].figures.at("requests") == 59417);
  CHECK(rows[0].figures.at("utility_served") == 0.412726586);
  CHECK(rows[0].figures.at("violations_duplicate") == 0);
  CHECK(rows[0].figures.at("p99_ms") == 1652.50411);
  CHECK(rows[0].figures.count("worth") == 0);
  REQUIRE(warnings.size() == 1);
  for (const char* const names : {"counter.csv: ", "asked (now requests)", "worth (now utility_served)"})
    CHECK_THAT(warnings[0], Catch::Contains(names));

  // Written again, the table has the current titles and gives no warning.
  readTable(writeTable(rows), "t.csv",
            [&warnings](const std::string& warning) { warnings.push_back(warning); });
  CHECK(warnings.size() == 1);
  // Comparisons and charts accept the earlier title as well as the current one.
  CHECK(compare(rows, rows, "worth").first.mean == compare(rows, rows, "utility_served").first.mean);
  CHECK(renderSvg(chartOf(rows, "fleet.gateways", "worth", AxisScale::linear)) ==
        renderSvg(chartOf(rows, "fleet.gateways", "utility_served", AxisScale::linear)));
}

TEST_CASE("a table with a figure under both its earlier and its current title is refused") {
  const std::string text =
      "scenario,hash,version,policy,seed,worth,utility_served\na,0,1,module,1,0.5,0.6\n# end,1\n";
  CHECK_THROWS_WITH(readTable(text, "t.csv"),
                    Catch::Contains("'worth' is the earlier title of 'utility_served'"));
}

TEST_CASE("compare_results.sh and the table reader use the same list of renamed titles") {
  std::ifstream list(MERLINBRIDGE_SOURCE_DIR "/scripts/renamed_titles.txt");
  std::size_t count = 0;
  for (std::string before, now; list >> before >> now; ++count) CHECK(currentTitle(before) == now);
  CHECK(count >= 18);
  CHECK(currentTitle("in_time") == "in_time");
}

TEST_CASE("seeds are a range or a list") {
  CHECK(parseSeeds("3..5") == std::vector<std::uint64_t>{3, 4, 5});
  CHECK(parseSeeds("1,4,9") == std::vector<std::uint64_t>{1, 4, 9});
  for (const char* const text : {"", "5..3", "1..", "x", "1,,2", "0..100000"})
    CHECK_THROWS_AS(parseSeeds(text), LabError);
}

TEST_CASE("a sweep plays every combination of its fields' values") {
  const auto combinations = combinationsOf({parseSweptField("x=1,2"), parseSweptField("y=a,b")});
  REQUIRE(combinations.size() == 4);
  CHECK(combinations[0] == FieldValues{{"x", "1"}, {"y", "a"}});
  CHECK(combinations[1] == FieldValues{{"x", "1"}, {"y", "b"}});
  CHECK(combinationsOf({}).size() == 1);
  CHECK_THROWS_AS(parseSweptField("x"), LabError);
}

TEST_CASE("CSV cells may contain commas, quotes and line ends") {
  const CsvLine cells{"plain", "a,b", "say \"x\"", "two\nlines", ""};
  std::string line;
  for (const std::string& cell : cells) line += (line.empty() ? "" : ",") + csvCell(cell);
  CHECK(parseCsv(line + "\r\n", "t.csv") == std::vector<CsvLine>{cells});
  CHECK_THROWS_AS(parseCsv(line, "t.csv"), LabError);
}

TEST_CASE("runs played in parallel give the same outcomes, in the same order, as runs played one by one") {
  const ExperimentRunner runner(MERLINBRIDGE_SOURCE_DIR "/scenarios/plain.toml", {"length=1s"});
  std::vector<Run> runs;
  for (const std::uint64_t seed : {4, 2, 7})
    runs.push_back({runner.scenario({{"fleet.gateways", "2"}}), {{"fleet.gateways", "2"}}, seed});
  std::vector<std::size_t> progress;
  const auto outcomes =
      ExperimentRunner::playAll(runs, 3, [&progress](std::size_t ended) { progress.push_back(ended); });
  REQUIRE(outcomes.size() == 3);
  CHECK(progress == std::vector<std::size_t>{1, 2, 3});
  for (std::size_t index = 0; index < runs.size(); ++index) {
    const Row expected = rowOf(runs[index], ExperimentRunner::play(runs[index]));
    CHECK(outcomes[index].row.seed == runs[index].seed);
    CHECK(outcomes[index].row.fields == runs[index].fields);
    CHECK(outcomes[index].row.figures == expected.figures);
  }
}
