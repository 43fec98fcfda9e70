#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lab/result_table.hpp"

/// Statistics over the runs of result tables.
namespace merlinbridge::lab {

/// A mean and its 95% confidence interval by Student's t distribution.
struct Estimate {
  double mean = 0;
  std::optional<double> halfWidth;  ///< Of the interval; none for fewer than two values.
  std::size_t count = 0;            ///< Of values.
};
Estimate estimateOf(const std::vector<double>&);

/// One figure in two tables, compared pair by pair.
struct Comparison {
  std::string figure;
  Estimate first;
  Estimate second;
  Estimate difference;  ///< The second table's value less the first's, over the pairs.

  /// One sentence; a difference is claimed only if the confidence interval excludes 0.
  std::string verdict() const;
};

/// Pairs the runs that have the same seed and the same changed fields in both tables, and compares one
/// figure, named by its present title or that of an earlier version. Throws LabError if there is no pair or
/// if a table has two runs of the same seed and fields.
Comparison compare(const std::vector<Row>& first, const std::vector<Row>& second, const std::string& figure);

}  // namespace merlinbridge::lab
