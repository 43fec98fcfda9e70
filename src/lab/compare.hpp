#pragma once

#include <optional>
#include <string>
#include <vector>

#include "lab/table.hpp"

namespace merlinbridge::lab {

/// A mean and the half of its interval of 95 in 100 by Student's t; none of one value alone.
struct Estimate {
  double mean = 0;
  std::optional<double> half;
  std::size_t n = 0;
};
Estimate estimateOf(const std::vector<double>&);

/// One figure of two tables, run by run: only what has the same seed, and the same changed fields, is a pair.
struct Compared {
  std::string figure;
  Estimate first, second, difference;  ///< the second's less the first's
  std::string verdict() const;         ///< says so where no difference is shown
};
/// Throws Unfit where there is no pair.
Compared compare(const std::vector<Row>& first, const std::vector<Row>& second, const std::string& figure);

}  // namespace merlinbridge::lab
