#include "lab/chart.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>
#include <map>

namespace merlinbridge::lab {
namespace {

constexpr double kWide = 840, kHigh = 440, kLeft = 80, kRight = 270, kTop = 48, kBottom = 60;
constexpr std::string_view kColours[] = {"#1b6ca8", "#c0392b", "#2e8b57", "#8e5ea2", "#b8860b", "#555555"};

std::string escaped(std::string_view text) {
  std::string out;
  for (const char c : text) {
    switch (c) {
      case '<':
        out += "&lt;";
        break;
      case '>':
        out += "&gt;";
        break;
      case '&':
        out += "&amp;";
        break;
      case '"':
        out += "&quot;";
        break;
      default:
        out += c;
    }
  }
  return out;
}

// The unit that goes with a figure's name, for the axis.
std::string withUnit(const std::string& figure) {
  if (figure.ends_with("_ms")) return figure.substr(0, figure.size() - 3) + " (ms)";
  for (const char* const count : {"asked", "list_lines", "hosts_fallen", "most_in_flight", "broken_lost",
                                  "broken_twice", "broken_drain", "broken_cold", "broken_ceiling"})
    if (figure == count) return figure + " (number)";
  for (const char* const ratio : {"tries", "call_outs", "connects", "count_calls"})
    if (figure == ratio) return figure + " (ratio)";
  return figure + " (part of 1)";
}

}  // namespace

std::vector<double> ticksOf(double least, double most, bool log) {
  std::vector<double> ticks;
  if (log) {
    for (int power = static_cast<int>(std::floor(std::log10(least))); power <= std::ceil(std::log10(most));
         ++power)
      for (const double step : {1.0, 3.0})
        if (const double at = step * std::pow(10, power); at >= least * 0.999 && at <= most * 1.001)
          ticks.push_back(at);
    return ticks;
  }
  const double rough = (most - least) / 5, power = std::pow(10, std::floor(std::log10(rough)));
  double step = power;
  for (const double by : {2.0, 5.0, 10.0})
    if (step < rough) step = by * power;
  for (double n = std::ceil(least / step - 1e-9); n * step <= most + 1e-9 * step; ++n)
    ticks.push_back(n == 0 ? 0 : n * step);
  return ticks;
}

// NOLINTNEXTLINE(readability-function-size): split in part two (issue 30)
std::string draw(const Chart& chart) {
  double left = std::numeric_limits<double>::max(), right = -left, low = left, high = -left;
  for (const Line& line : chart.lines)
    for (const Point& p : line.points) {
      left = std::min(left, p.x), right = std::max(right, p.x);
      low = std::min(low, p.y.mean - p.y.half.value_or(0)),
      high = std::max(high, p.y.mean + p.y.half.value_or(0));
    }
  if (left > right) throw Unfit("there is nothing to draw");
  if (chart.logX && left <= 0) throw Unfit("a logarithmic axis has no place for 0");
  if (left == right) left -= chart.logX ? left / 2 : 1, right += 1;
  low = std::min(low, 0.0);
  if (low == high) high += 1;
  high += (high - low) * 0.05;
  const auto xAt = [&](double x) {
    const double part =
        chart.logX ? std::log(x / left) / std::log(right / left) : (x - left) / (right - left);
    return kLeft + part * (kWide - kLeft - kRight);
  };
  const auto yAt = [&](double y) {
    return kHigh - kBottom - (y - low) / (high - low) * (kHigh - kTop - kBottom);
  };

  std::string svg = fmt::format(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" height=\"{1}\" viewBox=\"0 0 {0} {1}\" "
      "font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n"
      "<text x=\"{2}\" y=\"24\" font-size=\"15\">{3}</text>\n",
      kWide, kHigh, kLeft, escaped(chart.title));
  for (const double tick : ticksOf(left, right, chart.logX))
    svg += fmt::format(
        "<line x1=\"{0:.1f}\" y1=\"{1}\" x2=\"{0:.1f}\" y2=\"{2}\" stroke=\"#e4e4e4\"/>\n"
        "<text x=\"{0:.1f}\" y=\"{3}\" text-anchor=\"middle\">{4:g}</text>\n",
        xAt(tick), kTop, kHigh - kBottom, kHigh - kBottom + 18, tick);
  for (const double tick : ticksOf(low, high, false))
    svg += fmt::format(
        "<line x1=\"{0}\" y1=\"{1:.1f}\" x2=\"{2}\" y2=\"{1:.1f}\" stroke=\"#e4e4e4\"/>\n"
        "<text x=\"{3}\" y=\"{4:.1f}\" text-anchor=\"end\">{5:g}</text>\n",
        kLeft, yAt(tick), kWide - kRight, kLeft - 8, yAt(tick) + 4, tick);
  svg += fmt::format(
      "<path d=\"M{0} {1}V{2}H{3}\" fill=\"none\" stroke=\"black\"/>\n"
      "<text x=\"{4}\" y=\"{5}\" text-anchor=\"middle\">{6}</text>\n"
      "<text transform=\"translate(18 {7}) rotate(-90)\" text-anchor=\"middle\">{8}</text>\n",
      kLeft, kTop, kHigh - kBottom, kWide - kRight, (kLeft + kWide - kRight) / 2, kHigh - 18,
      escaped(chart.x), (kTop + kHigh - kBottom) / 2, escaped(chart.y));
  bool intervals = false;
  for (std::size_t n = 0; n < chart.lines.size(); ++n) {
    const Line& line = chart.lines[n];
    const std::string_view colour = kColours[n % std::size(kColours)];
    std::string path;
    for (const Point& p : line.points) {
      const double x = xAt(p.x), y = yAt(p.y.mean);
      path += fmt::format("{}{:.1f} {:.1f}", path.empty() ? "M" : "L", x, y);
      svg += fmt::format("<circle cx=\"{:.1f}\" cy=\"{:.1f}\" r=\"3\" fill=\"{}\"/>\n", x, y, colour);
      if (!p.y.half || *p.y.half <= 0) continue;
      intervals = true;
      svg += fmt::format(
          "<path d=\"M{0:.1f} {1:.1f}V{2:.1f}M{3:.1f} {1:.1f}h8M{3:.1f} {2:.1f}h8\" stroke=\"{4}\"/>\n", x,
          yAt(p.y.mean + *p.y.half), yAt(p.y.mean - *p.y.half), x - 4, colour);
    }
    svg += fmt::format("<path d=\"{}\" fill=\"none\" stroke=\"{}\" stroke-width=\"1.5\"/>\n", path, colour);
    const double at = kTop + 16 * double(n);
    svg += fmt::format(
        "<rect x=\"{0}\" y=\"{1}\" width=\"10\" height=\"10\" fill=\"{2}\"/>\n<text x=\"{3}\" "
        "y=\"{4}\">{5}</text>\n",
        kWide - kRight + 14, at, colour, kWide - kRight + 30, at + 9, escaped(line.name));
  }
  if (intervals)
    svg += fmt::format("<text x=\"{}\" y=\"{}\" font-size=\"10\">bars: 95 in 100</text>\n",
                       kWide - kRight + 14, kHigh - kBottom);
  return svg + "</svg>\n";
}

Chart chartOf(const std::vector<Row>& rows, const std::string& field, const std::string& figure, bool logX) {
  std::map<std::string, std::map<double, std::vector<double>>> lines;
  for (const Row& row : rows) {
    const auto f = row.fields.find(field);
    const auto y = row.figures.find(figure);
    if (f == row.fields.end() || y == row.figures.end()) continue;
    double x = 0;
    const std::string& text = f->second;
    if (std::from_chars(text.data(), text.data() + text.size(), x).ec != std::errc{})
      throw Unfit(fmt::format("field '{}' holds '{}', which has no place on an axis", field, text));
    std::string name = row.policy;
    for (const auto& [path, value] : row.fields)
      if (path != field) name += fmt::format(", {} {}", path, value);
    lines[name][x].push_back(y->second);
  }
  if (lines.empty()) throw Unfit("no run has both field '" + field + "' and figure '" + figure + "'");
  std::string unit;
  for (const Row& row : rows)
    if (const auto f = row.fields.find(field); f != row.fields.end())
      unit = f->second.substr(std::min(f->second.find_first_not_of("0123456789.eE+-"), f->second.size()));
  Chart chart{rows.front().scenario + ": " + figure + " over " + field + " (emulated)",
              field + (unit.empty() ? " (number)" : " (" + unit + ")"),
              withUnit(figure),
              logX,
              {}};
  for (const auto& [name, points] : lines) {
    Line line{name, {}};
    for (const auto& [x, values] : points) line.points.push_back({x, estimateOf(values)});
    chart.lines.push_back(std::move(line));
  }
  return chart;
}

}  // namespace merlinbridge::lab
