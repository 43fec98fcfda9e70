#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lab/lab_error.hpp"

/// Result tables: CSV files with one line per run.
namespace merlinbridge::lab {

/// Values of changed scenario fields, by the field's path ("fleet.gateways").
using FieldValues = std::map<std::string, std::string>;

/// One run: what identifies it, and its figures by title.
struct Row {
  std::string scenario;
  std::string hash;  ///< Hash of the scenario as played, 16 hex digits.
  std::string version;
  std::string policy;
  std::uint64_t seed = 0;
  FieldValues fields;
  std::map<std::string, double> figures;
};

/// Rows as CSV, in the order given. The last line holds the number of rows, so that a truncated table is
/// detected.
std::string writeTable(const std::vector<Row>&);

/// Reads a table that this version or an earlier one wrote. Titles of an earlier version are replaced by the
/// current ones, with one warning per table that lists both. `file` is the name for errors and warnings.
/// Throws LabError if the text is not a result table or is truncated, or if a number in it is invalid.
std::vector<Row> readTable(const std::string& text, const std::string& file, const WarningSink& = {});

/// Replaces a file atomically: writes the text to a temporary file in the same folder and renames it. A crash
/// before the renaming leaves the old file, or none if there was none. Throws LabError.
void replaceFile(const std::string& path, const std::string& text);

}  // namespace merlinbridge::lab
