#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

#include "lab/chart.hpp"

namespace merlinbridge::lab {
namespace {

/// Size of the image in pixels: a plot area with margins. The legend is in the right margin.
constexpr double kWidth = 840;
constexpr double kHeight = 440;
constexpr double kLeftMargin = 80;
constexpr double kRightMargin = 270;
constexpr double kTopMargin = 48;
constexpr double kBottomMargin = 60;
constexpr double kPlotRight = kWidth - kRightMargin;
constexpr double kPlotBottom = kHeight - kBottomMargin;

constexpr double kLegendLineHeight = 16;
constexpr double kLegendGap = 14;
constexpr double kHalfBarWidth = 4;

/// Space above the highest value, as a fraction of the axis.
constexpr double kHeadroom = 0.05;

constexpr std::array<std::string_view, 6> kColours{"#1b6ca8", "#c0392b", "#2e8b57",
                                                   "#8e5ea2", "#b8860b", "#555555"};

std::string escapeXml(std::string_view text) {
  std::string escaped;
  for (const char character : text) {
    switch (character) {
      case '<':
        escaped += "&lt;";
        break;
      case '>':
        escaped += "&gt;";
        break;
      case '&':
        escaped += "&amp;";
        break;
      case '"':
        escaped += "&quot;";
        break;
      default:
        escaped += character;
    }
  }
  return escaped;
}

struct Extent {
  double low = std::numeric_limits<double>::max();
  double high = -std::numeric_limits<double>::max();

  void include(double value) {
    low = std::min(low, value);
    high = std::max(high, value);
  }
};

Extent horizontalExtent(const Chart& chart) {
  Extent extent;
  for (const ChartSeries& series : chart.series)
    for (const ChartPoint& point : series.points) extent.include(point.position);
  const bool logarithmic = chart.horizontalScale == AxisScale::logarithmic;
  if (extent.low > extent.high) throw LabError("the chart has no points");
  if (logarithmic && extent.low <= 0) throw LabError("a logarithmic axis cannot show values of 0 or below");
  if (extent.low == extent.high) {
    extent.low -= logarithmic ? extent.low / 2 : 1;
    extent.high += 1;
  }
  return extent;
}

Extent verticalExtent(const Chart& chart) {
  Extent extent;
  for (const ChartSeries& series : chart.series) {
    for (const ChartPoint& point : series.points) {
      const double halfWidth = point.value.halfWidth.value_or(0);
      extent.include(point.value.mean - halfWidth);
      extent.include(point.value.mean + halfWidth);
    }
  }
  extent.low = std::min(extent.low, 0.0);
  if (extent.low == extent.high) extent.high += 1;
  extent.high += (extent.high - extent.low) * kHeadroom;
  return extent;
}

/// Draws one chart. Later elements cover earlier ones.
class SvgChart {
 public:
  explicit SvgChart(const Chart& chart)
      : chart_(chart), horizontal_(horizontalExtent(chart)), vertical_(verticalExtent(chart)) {}

  std::string render() && {
    drawHead();
    drawHorizontalGrid();
    drawVerticalGrid();
    drawAxes();
    for (std::size_t index = 0; index < chart_.series.size(); ++index) {
      const std::string_view colour = kColours[index % kColours.size()];
      drawSeries(chart_.series[index], colour);
      drawLegendEntry(chart_.series[index].name, colour, index);
    }
    if (hasIntervals_) drawIntervalNote();
    return std::move(svg_) + "</svg>\n";
  }

 private:
  double xOf(double position) const {
    const double share =
        chart_.horizontalScale == AxisScale::logarithmic
            ? std::log(position / horizontal_.low) / std::log(horizontal_.high / horizontal_.low)
            : (position - horizontal_.low) / (horizontal_.high - horizontal_.low);
    return kLeftMargin + share * (kPlotRight - kLeftMargin);
  }
  double yOf(double value) const {
    const double share = (value - vertical_.low) / (vertical_.high - vertical_.low);
    return kPlotBottom - share * (kPlotBottom - kTopMargin);
  }

  void drawHead() {
    svg_ += fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\" "
        "font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n"
        "<text x=\"{2}\" y=\"24\" font-size=\"15\">{3}</text>\n",
        kWidth, kHeight, kLeftMargin, escapeXml(chart_.title));
  }
  void drawHorizontalGrid() {
    constexpr double kLabelDistance = 18;
    for (const double tick : axisTicks(horizontal_.low, horizontal_.high, chart_.horizontalScale))
      svg_ += fmt::format(
          "<line x1=\"{0:.1f}\" y1=\"{1}\" x2=\"{0:.1f}\" y2=\"{2}\" stroke=\"#e4e4e4\"/>\n"
          "<text x=\"{0:.1f}\" y=\"{3}\" text-anchor=\"middle\">{4:g}</text>\n",
          xOf(tick), kTopMargin, kPlotBottom, kPlotBottom + kLabelDistance, tick);
  }
  void drawVerticalGrid() {
    constexpr double kLabelDistance = 8;
    constexpr double kHalfTextHeight = 4;
    for (const double tick : axisTicks(vertical_.low, vertical_.high, AxisScale::linear))
      svg_ += fmt::format(
          "<line x1=\"{0}\" y1=\"{1:.1f}\" x2=\"{2}\" y2=\"{1:.1f}\" stroke=\"#e4e4e4\"/>\n"
          "<text x=\"{3}\" y=\"{4:.1f}\" text-anchor=\"end\">{5:g}</text>\n",
          kLeftMargin, yOf(tick), kPlotRight, kLeftMargin - kLabelDistance, yOf(tick) + kHalfTextHeight,
          tick);
  }
  void drawAxes() {
    constexpr double kTitleDistance = 18;
    svg_ += fmt::format(
        "<path d=\"M{0} {1}V{2}H{3}\" fill=\"none\" stroke=\"black\"/>\n"
        "<text x=\"{4}\" y=\"{5}\" text-anchor=\"middle\">{6}</text>\n"
        "<text transform=\"translate(18 {7}) rotate(-90)\" text-anchor=\"middle\">{8}</text>\n",
        kLeftMargin, kTopMargin, kPlotBottom, kPlotRight, (kLeftMargin + kPlotRight) / 2,
        kHeight - kTitleDistance, escapeXml(chart_.horizontalTitle), (kTopMargin + kPlotBottom) / 2,
        escapeXml(chart_.verticalTitle));
  }
  void drawSeries(const ChartSeries& series, std::string_view colour) {
    std::string path;
    for (const ChartPoint& point : series.points) {
      const double x = xOf(point.position);    // NOLINT(readability-identifier-length): a coordinate
      const double y = yOf(point.value.mean);  // NOLINT(readability-identifier-length): a coordinate
      path += fmt::format("{}{:.1f} {:.1f}", path.empty() ? "M" : "L", x, y);
      svg_ += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"3\" fill=\"{}\"/>\n", x, y, colour);
      drawInterval(x, point.value, colour);
    }
    svg_ += fmt::format("<path d=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\"/>\n", path, colour);
  }
  void drawInterval(double x,  // NOLINT(readability-identifier-length): a coordinate
                    const Estimate& value, std::string_view colour) {
    if (!value.halfWidth || *value.halfWidth <= 0) return;
    hasIntervals_ = true;
    svg_ += fmt::format(
        "<path d=\"M{0:.1f} {1:.1f}V{2:.1f}M{3:.1f} {1:.1f}h8M{3:.1f} {2:.1f}h8\" stroke=\"{4}\"/>\n", x,
        yOf(value.mean + *value.halfWidth), yOf(value.mean - *value.halfWidth), x - kHalfBarWidth, colour);
  }
  void drawLegendEntry(const std::string& name, std::string_view colour, std::size_t index) {
    constexpr double kTextOffset = 30;
    constexpr double kBaseline = 9;
    const double top = kTopMargin + kLegendLineHeight * static_cast<double>(index);
    svg_ += fmt::format(
        "<rect x=\"{0}\" y=\"{1}\" width=\"10\" height=\"10\" fill=\"{2}\"/>\n<text x=\"{3}\" "
        "y=\"{4}\">{5}</text>\n",
        kPlotRight + kLegendGap, top, colour, kPlotRight + kTextOffset, top + kBaseline, escapeXml(name));
  }
  void drawIntervalNote() {
    svg_ += fmt::format("<text x=\"{}\" y=\"{}\" font-size=\"10\">bars: 95% confidence intervals</text>\n",
                        kPlotRight + kLegendGap, kPlotBottom);
  }

  const Chart& chart_;
  Extent horizontal_;
  Extent vertical_;
  bool hasIntervals_ = false;
  std::string svg_;
};

}  // namespace

std::string renderSvg(const Chart& chart) {
  return SvgChart(chart).render();
}

}  // namespace merlinbridge::lab
