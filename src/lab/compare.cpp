#include "lab/compare.hpp"

#include <fmt/format.h>

#include <boost/math/distributions/students_t.hpp>
#include <cmath>

namespace merlinbridge::lab {

Estimate estimateOf(const std::vector<double>& values) {
  Estimate e;
  e.n = values.size();
  if (values.empty()) return e;
  for (const double v : values) e.mean += v / double(e.n);
  if (e.n < 2) return e;
  double squares = 0;
  for (const double v : values) squares += (v - e.mean) * (v - e.mean);
  const boost::math::students_t student(double(e.n - 1));
  e.half = boost::math::quantile(boost::math::complement(student, 0.025)) *
           std::sqrt(squares / double(e.n - 1) / double(e.n));
  return e;
}

std::string Compared::verdict() const {
  if (!difference.half) return "no difference shown: one pair says nothing of chance";
  if (std::abs(difference.mean) <= *difference.half)
    return fmt::format("no difference shown: {:+.4g} +- {:.4g} over {} pairs", difference.mean,
                       *difference.half, difference.n);
  return fmt::format("{} by {:.4g} +- {:.4g} over {} pairs", difference.mean > 0 ? "higher" : "lower",
                     std::abs(difference.mean), *difference.half, difference.n);
}

Compared compare(const std::vector<Row>& first, const std::vector<Row>& second, const std::string& figure) {
  const auto keyOf = [](const Row& row) {
    std::string key = std::to_string(row.seed);
    for (const auto& [path, value] : row.fields) key += fmt::format("\n{}={}", path, value);
    return key;
  };
  std::map<std::string, double> known;
  for (const Row& row : first) {
    const auto at = row.figures.find(figure);
    if (at == row.figures.end()) continue;
    if (!known.emplace(keyOf(row), at->second).second)
      throw Unfit(fmt::format("the first table has two runs of seed {} alike: which is the pair?", row.seed));
  }
  std::vector<double> a, b, differences;
  std::map<std::string, char> used;
  for (const Row& row : second) {
    const auto at = row.figures.find(figure);
    const auto pair = known.find(keyOf(row));
    if (at == row.figures.end() || pair == known.end()) continue;
    if (!used.emplace(keyOf(row), 1).second)
      throw Unfit(
          fmt::format("the second table has two runs of seed {} alike: which is the pair?", row.seed));
    a.push_back(pair->second), b.push_back(at->second);
    differences.push_back(at->second - pair->second);
  }
  if (differences.empty())
    throw Unfit("no run of one table has a pair in the other with figure '" + figure + "'");
  return {figure, estimateOf(a), estimateOf(b), estimateOf(differences)};
}

}  // namespace merlinbridge::lab
