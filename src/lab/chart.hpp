#pragma once

#include <string>
#include <vector>

#include "lab/compare.hpp"

namespace merlinbridge::lab {

struct Point {
  double x = 0;
  Estimate y;
};
struct Line {
  std::string name;
  std::vector<Point> points;
};
struct Chart {
  std::string title, x, y;  ///< the axes' names, with their units
  bool logX = false;
  std::vector<Line> lines;
};

/// Round values between two, some five of them.
std::vector<double> ticksOf(double least, double most, bool log);
/// The chart as an SVG picture, with an interval at each point that has one.
std::string draw(const Chart&);
/// One figure over one changed field, a line for each policy (and for each value of a second field).
Chart chartOf(const std::vector<Row>&, const std::string& field, const std::string& figure, bool logX);

}  // namespace merlinbridge::lab
