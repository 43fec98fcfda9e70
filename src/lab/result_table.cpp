#include "lab/result_table.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>
#include <fstream>
#include <set>
#include <string_view>

#include "lab/csv.hpp"
#include "lab/figure_titles.hpp"

namespace merlinbridge::lab {
namespace {

/// Titles of the columns that identify the run.
constexpr std::array<std::string_view, 5> kRunTitles{"scenario", "hash", "version", "policy", "seed"};
/// Prefix of the title of a column with the values of a changed field.
constexpr std::string_view kFieldPrefix = "field:";
constexpr std::string_view kEndMark = "# end";

template <class Number>
Number parseNumber(const std::string& text, const std::string& file, std::size_t lineNumber) {
  Number value{};
  const char* const textEnd = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), textEnd, value);
  if (error != std::errc{} || end != textEnd)
    throw LabError(fmt::format("{}:{}: expected a number, found '{}'", file, lineNumber, text));
  return value;
}

/// The columns that follow kRunTitles.
struct Columns {
  std::set<std::string> fields;
  std::vector<std::string> figures;  ///< In the order of their first occurrence in the rows.
};

Columns columnsOf(const std::vector<Row>& rows) {
  Columns columns;
  std::set<std::string> seen;
  for (const Row& row : rows) {
    for (const auto& [path, value] : row.fields) columns.fields.insert(path);
    for (const auto& [title, value] : row.figures)
      if (seen.insert(title).second) columns.figures.push_back(title);
  }
  return columns;
}

std::string titleLine(const Columns& columns) {
  std::string line;
  for (const std::string_view title : kRunTitles) line += (line.empty() ? "" : ",") + std::string(title);
  for (const std::string& path : columns.fields) line += "," + csvCell(std::string(kFieldPrefix) + path);
  for (const std::string& title : columns.figures) line += "," + csvCell(title);
  return line + '\n';
}

std::string rowLine(const Row& row, const Columns& columns) {
  std::string line = fmt::format("{},{},{},{},{}", csvCell(row.scenario), row.hash, csvCell(row.version),
                                 row.policy, row.seed);
  for (const std::string& path : columns.fields) {
    const auto value = row.fields.find(path);
    line += "," + (value == row.fields.end() ? "" : csvCell(value->second));
  }
  for (const std::string& title : columns.figures) {
    const auto figure = row.figures.find(title);
    line += figure == row.figures.end() ? "," : fmt::format(",{:.9g}", figure->second);
  }
  return line + '\n';
}

void checkIsTable(const std::vector<CsvLine>& lines, const std::string& file) {
  const bool complete = lines.size() >= 2 && lines.back().size() == 2 && lines.back()[0] == kEndMark &&
                        lines.back()[1] == std::to_string(lines.size() - 2);
  if (!complete) throw LabError(file + ": truncated table: the last line does not hold the number of rows");
  const CsvLine& titles = lines.front();
  if (titles.size() < kRunTitles.size() || !std::equal(kRunTitles.begin(), kRunTitles.end(), titles.begin()))
    throw LabError(file + ":1: not a result table of merlinbridge_lab");
}

/// The table's titles, with those of earlier versions replaced by the current ones.
CsvLine currentTitles(const CsvLine& titles, const std::string& file, const WarningSink& warn) {
  CsvLine current;
  std::string renamed;
  for (const std::string& title : titles) {
    current.emplace_back(currentTitle(title));
    if (current.back() == title) continue;
    if (std::find(titles.begin(), titles.end(), current.back()) != titles.end())
      throw LabError(fmt::format("{}:1: '{}' is the earlier title of '{}'; the table has both", file, title,
                                 current.back()));
    renamed += fmt::format("{}{} (now {})", renamed.empty() ? "" : ", ", title, current.back());
  }
  if (warn && !renamed.empty()) warn(fmt::format("{}: titles of an earlier version: {}", file, renamed));
  return current;
}

Row parseRow(const CsvLine& cells, const CsvLine& titles, const std::string& file, std::size_t lineNumber) {
  if (cells.size() != titles.size())
    throw LabError(
        fmt::format("{}:{}: expected {} cells, found {}", file, lineNumber, titles.size(), cells.size()));
  Row row{cells[0], cells[1], cells[2], cells[3], parseNumber<std::uint64_t>(cells[4], file, lineNumber),
          {},       {}};
  for (std::size_t column = kRunTitles.size(); column < cells.size(); ++column) {
    const std::string& title = titles[column];
    if (title.starts_with(kFieldPrefix))
      row.fields[title.substr(kFieldPrefix.size())] = cells[column];
    else if (!cells[column].empty())
      row.figures[title] = parseNumber<double>(cells[column], file, lineNumber);
  }
  return row;
}

}  // namespace

std::string writeTable(const std::vector<Row>& rows) {
  const Columns columns = columnsOf(rows);
  std::string text = titleLine(columns);
  for (const Row& row : rows) text += rowLine(row, columns);
  return text + fmt::format("{},{}\n", kEndMark, rows.size());
}

std::vector<Row> readTable(const std::string& text, const std::string& file, const WarningSink& warn) {
  const std::vector<CsvLine> lines = parseCsv(text, file);
  checkIsTable(lines, file);
  const CsvLine titles = currentTitles(lines.front(), file, warn);
  std::vector<Row> rows;
  for (std::size_t index = 1; index + 1 < lines.size(); ++index)
    rows.push_back(parseRow(lines[index], titles, file, index + 1));
  return rows;
}

void replaceFile(const std::string& path, const std::string& text) {
  const std::string partial = path + ".part";
  {
    std::ofstream file(partial, std::ios::binary | std::ios::trunc);
    file << text << std::flush;
    if (!file) throw LabError(partial + ": cannot write the file");
  }
  if (std::rename(partial.c_str(), path.c_str()) != 0) throw LabError(path + ": cannot replace the file");
}

}  // namespace merlinbridge::lab
