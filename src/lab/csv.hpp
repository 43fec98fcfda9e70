#pragma once

#include <string>
#include <vector>

/// Comma-separated values: quoted cells may contain commas, line ends and, doubled, quotes.
namespace merlinbridge::lab {

using CsvLine = std::vector<std::string>;

/// The text as a cell: quoted if it contains commas, quotes or line ends.
std::string csvCell(const std::string& text);

/// All lines of a text. Throws LabError, which names `file`, if the last line is incomplete.
std::vector<CsvLine> parseCsv(const std::string& text, const std::string& file);

}  // namespace merlinbridge::lab
