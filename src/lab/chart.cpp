#include "lab/chart.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>

#include "lab/figure_titles.hpp"

namespace merlinbridge::lab {
namespace {

/// Maximum number of steps on a linear axis.
constexpr double kMaxSteps = 5;
/// How far a rounding error may move a tick past the end of the axis: as a fraction of the step on a linear
/// axis, of the axis's end on a logarithmic one.
constexpr double kLinearTolerance = 1e-9;
constexpr double kLogarithmicTolerance = 1e-3;

std::vector<double> logarithmicTicks(double low, double high) {
  std::vector<double> ticks;
  const int lastPower = static_cast<int>(std::ceil(std::log10(high)));
  for (int power = static_cast<int>(std::floor(std::log10(low))); power <= lastPower; ++power) {
    for (const double factor : {1.0, 3.0}) {
      const double tick = factor * std::pow(10, power);
      if (tick >= low * (1 - kLogarithmicTolerance) && tick <= high * (1 + kLogarithmicTolerance))
        ticks.push_back(tick);
    }
  }
  return ticks;
}

std::vector<double> linearTicks(double low, double high) {
  const double minStep = (high - low) / kMaxSteps;
  const double power = std::pow(10, std::floor(std::log10(minStep)));
  double step = power;
  for (const double factor : {2.0, 5.0, 10.0})
    if (step < minStep) step = factor * power;
  std::vector<double> ticks;
  double index = std::ceil(low / step - kLinearTolerance);
  while (index * step <= high + kLinearTolerance * step) {
    ticks.push_back(index == 0 ? 0 : index * step);  // -0 would be printed as "-0".
    ++index;
  }
  return ticks;
}

/// The number that a field's value begins with; a unit may follow.
double positionOf(const std::string& value, const std::string& field) {
  double position = 0;
  if (std::from_chars(value.data(), value.data() + value.size(), position).ec != std::errc{})
    throw LabError(fmt::format("field '{}': value '{}' does not begin with a number", field, value));
  return position;
}

std::string seriesName(const Row& row, const std::string& field) {
  std::string name = row.policy;
  for (const auto& [path, value] : row.fields)
    if (path != field) name += fmt::format(", {} {}", path, value);
  return name;
}

/// The field's path, followed by the unit of its last value in the table.
std::string fieldWithUnit(const std::vector<Row>& rows, const std::string& field) {
  std::string unit;
  for (const Row& row : rows) {
    const auto value = row.fields.find(field);
    if (value == row.fields.end()) continue;
    const auto unitAt = value->second.find_first_not_of("0123456789.eE+-");
    unit = unitAt == std::string::npos ? "" : value->second.substr(unitAt);
  }
  return fmt::format("{} ({})", field, unit.empty() ? "number" : unit);
}

}  // namespace

std::vector<double> axisTicks(double low, double high, AxisScale scale) {
  return scale == AxisScale::logarithmic ? logarithmicTicks(low, high) : linearTicks(low, high);
}

Chart chartOf(const std::vector<Row>& rows, const std::string& field, const std::string& figure,
              AxisScale scale) {
  const std::string title(currentTitle(figure));
  std::map<std::string, std::map<double, std::vector<double>>> valuesBySeries;
  for (const Row& row : rows) {
    const auto fieldValue = row.fields.find(field);
    const auto value = row.figures.find(title);
    if (fieldValue == row.fields.end() || value == row.figures.end()) continue;
    valuesBySeries[seriesName(row, field)][positionOf(fieldValue->second, field)].push_back(value->second);
  }
  if (valuesBySeries.empty())
    throw LabError("no run has both field '" + field + "' and figure '" + title + "'");
  Chart chart;
  chart.title = fmt::format("{}: {} over {} (emulated)", rows.front().scenario, title, field);
  chart.horizontalTitle = fieldWithUnit(rows, field);
  chart.verticalTitle = titleWithUnit(title);
  chart.horizontalScale = scale;
  for (const auto& [name, values] : valuesBySeries) {
    ChartSeries& series = chart.series.emplace_back();
    series.name = name;
    for (const auto& [position, estimated] : values)
      series.points.push_back({position, estimateOf(estimated)});
  }
  return chart;
}

}  // namespace merlinbridge::lab
