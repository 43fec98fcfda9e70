#pragma once

#include <string>
#include <string_view>

/// Titles of the figures in result tables: the names that earlier versions gave them, and their units.
namespace merlinbridge::lab {

/// The present title of a figure that may be named by the title of an earlier version. A title that was never
/// renamed, or is not known, comes back as it is.
std::string_view currentTitle(std::string_view title);

/// The figure's title with its unit, for an axis of a chart: "p99 (ms)". `title` is a present one.
std::string titleWithUnit(std::string_view title);

}  // namespace merlinbridge::lab
