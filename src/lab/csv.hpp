#pragma once

#include <string>
#include <vector>

/// Comma-separated values: cells in quotes may hold commas, line ends and doubled quotes.
namespace merlinbridge::lab {

using CsvLine = std::vector<std::string>;

/// A cell as it is written: in quotes if its text needs them.
std::string csvCell(const std::string& text);

/// All lines of a text. Throws LabError, which names `file`, if the last line has no end.
std::vector<CsvLine> parseCsv(const std::string& text, const std::string& file);

}  // namespace merlinbridge::lab
