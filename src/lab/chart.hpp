#pragma once

#include <string>
#include <vector>

#include "lab/comparison.hpp"

/// Charts that plot a figure of the runs against a changed field.
namespace merlinbridge::lab {

/// How the values of an axis are spaced.
enum class AxisScale { linear, logarithmic };

/// One estimated value with its confidence interval.
struct ChartPoint {
  double position = 0;  ///< On the horizontal axis.
  Estimate value;
};

/// The points of one policy and one combination of the other fields, drawn as a line.
struct ChartSeries {
  std::string name;
  std::vector<ChartPoint> points;  ///< In ascending order of position.
};

/// What renderSvg() needs: titles, the horizontal scale and the series.
struct Chart {
  std::string title;
  std::string horizontalTitle;  ///< With the unit, as in verticalTitle.
  std::string verticalTitle;
  AxisScale horizontalScale = AxisScale::linear;
  std::vector<ChartSeries> series;
};

/// Plots one figure against one changed field: a series for each policy and each combination of the other
/// changed fields, and in it a point for each value of the field, estimated over the seeds. `figure` is the
/// current title or that of an earlier version. Throws LabError if no run has both the field and the figure,
/// or if a value of the field does not begin with a number.
Chart chartOf(const std::vector<Row>&, const std::string& field, const std::string& figure, AxisScale);

/// Tick values from `low` to `high`: about five round values on a linear axis, 1 and 3 times each power of
/// ten on a logarithmic one, where `low` must be above 0.
std::vector<double> axisTicks(double low, double high, AxisScale);

/// The chart as an SVG image, with the confidence interval of each point that has one. Throws LabError if
/// there are no points, or if a position on a logarithmic axis is 0 or below.
std::string renderSvg(const Chart&);

}  // namespace merlinbridge::lab
