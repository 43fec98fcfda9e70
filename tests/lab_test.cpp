#include <unistd.h>

#include <catch2/catch.hpp>
#include <cmath>
#include <cstdio>
#include <fstream>

#include "lab/chart.hpp"
#include "lab/shrink.hpp"

using namespace merlinbridge;
using namespace merlinbridge::lab;

namespace {

Row row(std::uint64_t seed, double worth, const std::string& gateways = "3") {
  return {"a \"name\", odd", "00ff", "1.0", "module", seed, {{"fleet.gateways", gateways}},
          {{"worth", worth}}};
}

}  // namespace

TEST_CASE("a table reads as it was written, and one cut short anywhere is not read") {
  const std::vector<Row> rows{row(1, 0.5), row(2, 0.25, "30")};
  const std::string text = writeTable(rows);
  const auto read = readTable(text, "t.csv");
  REQUIRE(read.size() == 2);
  CHECK(read[0].scenario == rows[0].scenario);
  CHECK(read[1].seed == 2);
  CHECK(read[1].fields.at("fleet.gateways") == "30");
  CHECK(read[1].figures.at("worth") == 0.25);
  for (std::size_t cut = 0; cut < text.size(); ++cut)
    CHECK_THROWS_AS(readTable(text.substr(0, cut), "t"), Unfit);
  std::string odd = text;
  odd.replace(odd.find("0.25"), 4, "many");
  CHECK_THROWS_WITH(readTable(odd, "t.csv"), "t.csv:3: expected a number, found 'many'");
}

TEST_CASE("a file is put in place whole or not at all") {
  char folder[] = "/tmp/merlinbridge-lab-XXXXXX";
  REQUIRE(mkdtemp(folder));
  const std::string path = std::string(folder) + "/t.csv";
  putFile(path, "one");
  putFile(path, "two");
  std::ifstream file(path);
  CHECK(std::string(std::istreambuf_iterator<char>(file), {}) == "two");
  CHECK_THROWS_AS(putFile(std::string(folder) + "/none/t.csv", "x"), Unfit);
  std::remove(path.c_str());
  ::rmdir(folder);
}

TEST_CASE("intervals are Student's, and no difference is claimed that is not shown") {
  const Estimate e = estimateOf({1, 2, 3, 4});
  CHECK(e.mean == Approx(2.5));
  CHECK(*e.half == Approx(3.182 * std::sqrt(5.0 / 3 / 4)).epsilon(1e-3));  // t of 3 degrees, 95 in 100
  CHECK_FALSE(estimateOf({1}).half);
  const std::vector<Row> a{row(1, 0.5), row(2, 0.9), row(3, 0.1), row(4, 0.4)};
  const std::vector<Row> higher{row(4, 0.51), row(1, 0.6), row(2, 1.0), row(3, 0.2), row(9, 5)};
  const Compared c = compare(a, higher, "worth");
  CHECK(c.difference.n == 4);
  CHECK(c.difference.mean == Approx(0.1025));
  CHECK(c.verdict().starts_with("higher by"));  // pair by pair, though each table spreads remote wider
  const std::vector<Row> noise{row(1, 0.6), row(2, 0.8), row(3, 0.2), row(4, 0.3)};
  CHECK(compare(a, noise, "worth").verdict().starts_with("no difference shown"));
  CHECK(compare({row(1, 1)}, {row(1, 2)}, "worth").verdict().starts_with("no difference shown"));
  CHECK_THROWS_AS(compare(a, {row(1, 1, "30")}, "worth"), Unfit);
  CHECK_THROWS_AS(compare({row(1, 1), row(1, 2)}, a, "worth"), Unfit);
}

TEST_CASE("a chart has axes with units, a line for each policy, and an interval at each point") {
  std::vector<Row> rows;
  for (std::uint64_t seed = 1; seed <= 3; ++seed)
    for (const char* const gateways : {"3", "30", "300"})
      rows.push_back(row(seed, 0.1 * double(seed), gateways));
  rows[0].policy = "<even>";
  const std::string svg = draw(chartOf(rows, "fleet.gateways", "worth", true));
  for (const char* const part : {"fleet.gateways (number)", "worth (part of 1)", "&lt;even&gt;",
                                 "bars: 95 in 100", ">30</text>", "emulated"})
    CHECK(svg.find(part) != std::string::npos);
  CHECK_THROWS_AS(chartOf(rows, "fleet.zones", "worth", false), Unfit);
  CHECK_THROWS_AS(draw(chartOf({row(1, 1, "0")}, "fleet.gateways", "worth", true)), Unfit);
  CHECK(ticksOf(0, 1, false).size() >= 4);
  CHECK(ticksOf(3, 300, true) == std::vector<double>{3, 10, 30, 100, 300});
}

TEST_CASE("shrinking keeps what is needed to show it, and nothing else") {
  emulator::Scenario s;
  s.gateways = 64, s.hosts = 40, s.customers = 1000, s.rate = 512, s.length = std::chrono::seconds(60);
  s.methods.resize(3), s.plans.resize(2);
  for (const auto kind :
       {emulator::FaultKind::hostSlow, emulator::FaultKind::zoneCut, emulator::FaultKind::counterDown})
    s.faults.push_back({kind, {4, 8}, {1, 1}, 1, 1, 1});
  std::size_t tried = 0;
  const auto shows = [](const emulator::Scenario& each) {
    return each.gateways >= 5 &&
           std::any_of(each.faults.begin(), each.faults.end(),
                       [](const emulator::Fault& f) { return f.kind == emulator::FaultKind::zoneCut; });
  };
  const emulator::Scenario least = shrink(s, shows, 1000, tried);
  CHECK(least.gateways == 8);
  CHECK(least.hosts == 1);
  CHECK(least.faults.size() == 1);
  CHECK(least.methods.size() == 1);
  CHECK(least.plans.size() == 1);
  CHECK(least.length < std::chrono::seconds(5));
  CHECK(shows(least));
  std::size_t few = 0;
  shrink(s, shows, 3, few);
  CHECK(few == 3);
  CHECK_THROWS_AS(shrink(
                      s, [](const emulator::Scenario&) { return false; }, 10, tried),
                  Unfit);
}
