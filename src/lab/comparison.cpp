#include "lab/comparison.hpp"

#include <fmt/format.h>

#include <boost/math/distributions/students_t.hpp>
#include <cmath>
#include <map>
#include <set>
#include <string_view>

#include "lab/figure_titles.hpp"

namespace merlinbridge::lab {
namespace {

/// Probability beyond each end of a 95% confidence interval.
constexpr double kTailProbability = 0.025;

/// Identifies the run to pair with in the other table: the seed and the changed fields.
std::string pairKey(const Row& row) {
  std::string key = std::to_string(row.seed);
  for (const auto& [path, value] : row.fields) key += fmt::format("\n{}={}", path, value);
  return key;
}

[[noreturn]] void throwDuplicateRun(std::string_view table, std::uint64_t seed) {
  throw LabError(
      fmt::format("the {} table has more than one run with seed {} and the same fields", table, seed));
}

/// The values of one figure by pair key.
std::map<std::string, double> valuesByKey(const std::vector<Row>& rows, const std::string& figure) {
  std::map<std::string, double> values;
  for (const Row& row : rows) {
    const auto value = row.figures.find(figure);
    if (value == row.figures.end()) continue;
    if (!values.emplace(pairKey(row), value->second).second) throwDuplicateRun("first", row.seed);
  }
  return values;
}

}  // namespace

Estimate estimateOf(const std::vector<double>& values) {
  Estimate estimate;
  estimate.count = values.size();
  if (values.empty()) return estimate;
  const auto count = static_cast<double>(values.size());
  for (const double value : values) estimate.mean += value / count;
  if (values.size() < 2) return estimate;
  double squares = 0;
  for (const double value : values) squares += (value - estimate.mean) * (value - estimate.mean);
  const boost::math::students_t distribution(count - 1);
  const double quantile = boost::math::quantile(boost::math::complement(distribution, kTailProbability));
  estimate.halfWidth = quantile * std::sqrt(squares / (count - 1) / count);
  return estimate;
}

std::string Comparison::verdict() const {
  if (!difference.halfWidth) return "no difference shown: a confidence interval needs at least 2 pairs";
  if (std::abs(difference.mean) <= *difference.halfWidth)
    return fmt::format("no difference shown: {:+.4g} +- {:.4g} over {} pairs", difference.mean,
                       *difference.halfWidth, difference.count);
  return fmt::format("{} by {:.4g} +- {:.4g} over {} pairs", difference.mean > 0 ? "higher" : "lower",
                     std::abs(difference.mean), *difference.halfWidth, difference.count);
}

Comparison compare(const std::vector<Row>& first, const std::vector<Row>& second, const std::string& figure) {
  const std::string title(currentTitle(figure));
  const auto firstValues = valuesByKey(first, title);
  std::vector<double> pairedFirst;
  std::vector<double> pairedSecond;
  std::vector<double> differences;
  std::set<std::string> paired;
  for (const Row& row : second) {
    const std::string key = pairKey(row);
    const auto before = firstValues.find(key);
    const auto after = row.figures.find(title);
    if (before == firstValues.end() || after == row.figures.end()) continue;
    if (!paired.insert(key).second) throwDuplicateRun("second", row.seed);
    pairedFirst.push_back(before->second);
    pairedSecond.push_back(after->second);
    differences.push_back(after->second - before->second);
  }
  if (differences.empty())
    throw LabError("the tables have no runs with the same seed and fields that both have figure '" + title +
                   "'");
  return {title, estimateOf(pairedFirst), estimateOf(pairedSecond), estimateOf(differences)};
}

}  // namespace merlinbridge::lab
