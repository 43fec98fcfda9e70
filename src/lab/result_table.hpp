#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/lab_error.hpp"

/// Result tables: runs as lines of CSV.
namespace merlinbridge::lab {

/// Values of changed scenario fields, by the field's path ("fleet.gateways").
using FieldValues = std::map<std::string, std::string>;

/// One run: what was played, and its figures by title.
struct Row {
  std::string scenario;
  std::string hash;  ///< Of the scenario as played, 16 hex digits.
  std::string version;
  std::string policy;
  std::uint64_t seed = 0;
  FieldValues fields;
  std::map<std::string, double> figures;
};

/// Rows as CSV, in the order given. The last line holds their number, so that a table that was cut short is
/// recognized.
std::string writeTable(const std::vector<Row>&);

/// Reads a table that this version or an earlier one wrote. Titles of an earlier version are read under their
/// present names; a table with such titles gives one warning that names both. `file` is named in errors.
/// Throws LabError if the text is no such table, is cut short, or has a cell that is no number.
std::vector<Row> readTable(const std::string& text, const std::string& file, const WarningSink& = {});

/// Replaces a file in one step: its text is written beside it and renamed, so that a crash leaves the old
/// file or none. Throws LabError.
void replaceFile(const std::string& path, const std::string& text);

}  // namespace merlinbridge::lab
