#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "emulator/metrics.hpp"

namespace merlinbridge::lab {

/// What was asked of the laboratory cannot be done; the text says why.
struct Unfit : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// One run in a table: by which scenario, policy, changes and seed, and what it came to.
struct Row {
  std::string scenario, hash, version, policy;
  std::uint64_t seed = 0;
  std::map<std::string, std::string> fields;  ///< what was changed, by path
  std::map<std::string, double> figures;
};

/// Rows as CSV, in the order given. The last line says how many there are: a table that was cut short has
/// none and is not read.
std::string writeTable(const std::vector<Row>&);
std::vector<Row> readTable(const std::string& text, const std::string& file);
/// Written whole under another name and then put in place: an end at any moment leaves the old file, or none.
void putFile(const std::string& path, const std::string& text);

Row rowOf(const emulator::Scenario&, std::uint64_t seed, emulator::Policy, const emulator::Metrics&);
std::string timeline(const emulator::Metrics&);

}  // namespace merlinbridge::lab
