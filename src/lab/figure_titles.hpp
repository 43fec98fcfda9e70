#pragma once

#include <string>
#include <string_view>

/// Titles of the figures in result tables: their names in earlier versions, and their units.
namespace merlinbridge::lab {

/// The current title of a figure, given its current title or that of an earlier version. Other titles are
/// returned unchanged.
std::string_view currentTitle(std::string_view title);

/// The figure's title with its unit, for an axis of a chart: "p99 (ms)". `title` must be a current one.
std::string titleWithUnit(std::string_view title);

}  // namespace merlinbridge::lab
