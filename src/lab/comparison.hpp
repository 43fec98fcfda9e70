#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lab/result_table.hpp"

/// Statistics of the runs in result tables.
namespace merlinbridge::lab {

/// A mean and its 95% confidence interval from Student's t distribution.
struct Estimate {
  double mean = 0;
  std::optional<double> halfWidth;  ///< Half the interval's width; none for fewer than two values.
  std::size_t count = 0;            ///< Number of values.
};
Estimate estimateOf(const std::vector<double>&);

/// One figure in two tables, compared over pairs of runs.
struct Comparison {
  std::string figure;
  Estimate first;
  Estimate second;
  Estimate difference;  ///< The second table's value minus the first's, over the pairs.

  /// One line of text that states a difference only if the confidence interval excludes 0.
  std::string verdict() const;
};

/// Pairs the runs that have the same seed and the same changed fields in both tables and compares one figure,
/// which is named by its current title or that of an earlier version. Throws LabError if there is no pair, or
/// if a table has two runs with the same seed and fields.
Comparison compare(const std::vector<Row>& first, const std::vector<Row>& second, const std::string& figure);

}  // namespace merlinbridge::lab
