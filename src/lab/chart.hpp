#pragma once

#include <string>
#include <vector>

#include "lab/comparison.hpp"

/// Charts of a figure over a changed field.
namespace merlinbridge::lab {

/// How the values of an axis are spaced.
enum class AxisScale { linear, logarithmic };

/// One measured value with its interval.
struct ChartPoint {
  double position = 0;  ///< On the horizontal axis.
  Estimate value;
};

/// The points of one policy or table, drawn as one line.
struct ChartSeries {
  std::string name;
  std::vector<ChartPoint> points;  ///< By rising position.
};

/// What drawChart needs: titles, scales and series.
struct Chart {
  std::string title;
  std::string horizontalTitle;  ///< With its unit, as is verticalTitle.
  std::string verticalTitle;
  AxisScale horizontalScale = AxisScale::linear;
  std::vector<ChartSeries> series;
};

/// One figure over one changed field: a series for each policy and each combination of the other changed
/// fields, a point for each value of the field, estimated over the seeds. The figure is named by its present
/// title or that of an earlier version. Throws LabError if no run has both, or if a value of the field is no
/// number.
Chart chartOf(const std::vector<Row>&, const std::string& field, const std::string& figure, AxisScale);

/// Round values from `low` to `high`, about five on a linear axis; 1 and 3 of each power of ten on a
/// logarithmic one, where `low` must be above 0.
std::vector<double> axisTicks(double low, double high, AxisScale);

/// The chart as an SVG image, with the confidence interval of each point that has one. Throws LabError if
/// there is no point, or one at or below 0 on a logarithmic axis.
std::string renderSvg(const Chart&);

}  // namespace merlinbridge::lab
