#include "lab/table.hpp"

#include <fmt/format.h>

#include <charconv>
#include <cstdio>
#include <fstream>
#include <set>
#include <sstream>

#ifndef MERLINBRIDGE_VERSION
#define MERLINBRIDGE_VERSION "unknown"
#endif

namespace merlinbridge::lab {
namespace {

constexpr std::string_view kFieldMark = "field:";
constexpr std::string_view kFirst[] = {"scenario", "hash", "version", "policy", "seed"};

std::string quoted(const std::string& text) {
  if (text.find_first_of(",\"\n\r") == std::string::npos) return text;
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"') out += '"';
    out += c;
  }
  return out + '"';
}

// All cells of all lines. A quoted cell may hold commas, and quotes written twice.
std::vector<std::vector<std::string>> cellsOf(const std::string& text, const std::string& file) {
  std::vector<std::vector<std::string>> lines;
  std::vector<std::string> cells;
  std::string cell;
  bool quotes = false;
  for (std::size_t n = 0; n < text.size(); ++n) {
    const char c = text[n];
    if (quotes) {
      if (c != '"') {
        cell += c;
      } else if (n + 1 < text.size() && text[n + 1] == '"') {
        cell += text[++n];
      } else {
        quotes = false;
      }
    } else if (c == '"') {
      quotes = true;
    } else if (c == ',') {
      cells.push_back(std::move(cell)), cell.clear();
    } else if (c == '\n') {
      cells.push_back(std::move(cell)), cell.clear();
      lines.push_back(std::move(cells)), cells.clear();
    } else if (c != '\r') {
      cell += c;
    }
  }
  if (quotes || !cell.empty() || !cells.empty()) throw Unfit(file + ": the table is cut short");
  return lines;
}

template <class Number>
Number numberOf(const std::string& text, const std::string& file, std::size_t line) {
  Number value{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc{} || end != text.data() + text.size())
    throw Unfit(fmt::format("{}:{}: expected a number, found '{}'", file, line, text));
  return value;
}

}  // namespace

std::string writeTable(const std::vector<Row>& rows) {
  std::set<std::string> fields;
  std::vector<std::string> figures;
  std::set<std::string> seen;
  for (const Row& row : rows) {
    for (const auto& [path, value] : row.fields) fields.insert(path);
    for (const auto& [name, value] : row.figures)
      if (seen.insert(name).second) figures.push_back(name);
  }
  std::string out;
  for (const std::string_view head : kFirst) out += (out.empty() ? "" : ",") + std::string(head);
  for (const std::string& path : fields) out += "," + quoted(std::string(kFieldMark) + path);
  for (const std::string& name : figures) out += "," + quoted(name);
  out += '\n';
  for (const Row& row : rows) {
    out += fmt::format("{},{},{},{},{}", quoted(row.scenario), row.hash, quoted(row.version), row.policy,
                       row.seed);
    for (const std::string& path : fields) {
      const auto at = row.fields.find(path);
      out += "," + (at == row.fields.end() ? "" : quoted(at->second));
    }
    for (const std::string& name : figures) {
      const auto at = row.figures.find(name);
      out += at == row.figures.end() ? "," : fmt::format(",{:.9g}", at->second);
    }
    out += '\n';
  }
  return out + fmt::format("# end,{}\n", rows.size());
}

std::vector<Row> readTable(const std::string& text, const std::string& file) {
  const auto lines = cellsOf(text, file);
  if (lines.size() < 2 || lines.back().size() != 2 || lines.back()[0] != "# end" ||
      lines.back()[1] != std::to_string(lines.size() - 2))
    throw Unfit(file + ": the table is cut short");
  const auto& heads = lines.front();
  for (std::size_t n = 0; n < std::size(kFirst); ++n)
    if (heads.size() <= n || heads[n] != kFirst[n])
      throw Unfit(file + ":1: this is no table of the laboratory's");
  std::vector<Row> rows;
  for (std::size_t l = 1; l + 1 < lines.size(); ++l) {
    const auto& cells = lines[l];
    if (cells.size() != heads.size())
      throw Unfit(fmt::format("{}:{}: expected {} cells, found {}", file, l + 1, heads.size(), cells.size()));
    Row row{cells[0], cells[1], cells[2], cells[3], numberOf<std::uint64_t>(cells[4], file, l + 1), {}, {}};
    for (std::size_t n = std::size(kFirst); n < cells.size(); ++n) {
      if (heads[n].starts_with(kFieldMark))
        row.fields[heads[n].substr(kFieldMark.size())] = cells[n];
      else if (!cells[n].empty())
        row.figures[heads[n]] = numberOf<double>(cells[n], file, l + 1);
    }
    rows.push_back(std::move(row));
  }
  return rows;
}

void putFile(const std::string& path, const std::string& text) {
  const std::string part = path + ".part";
  {
    std::ofstream file(part, std::ios::binary | std::ios::trunc);
    file << text << std::flush;
    if (!file) throw Unfit(part + ": cannot be written");
  }
  if (std::rename(part.c_str(), path.c_str()) != 0) throw Unfit(path + ": cannot be put in place");
}

Row rowOf(const emulator::Scenario& s, std::uint64_t seed, emulator::Policy policy,
          const emulator::Metrics& metrics) {
  Row row{s.name, fmt::format("{:016x}", s.hash), MERLINBRIDGE_VERSION, std::string(wordOf(policy)), seed, {},
          {}};
  for (const auto& [name, value] : emulator::figuresOf(metrics)) row.figures[name] = value;
  return row;
}

std::string timeline(const emulator::Metrics& metrics) {
  std::string out =
      "second,asked,in_time,late,failed,pushed_back,call_outs,connects,count_calls,units_sent,units_beyond\n";
  for (std::size_t n = 0; n < metrics.seconds.size(); ++n) {
    const auto& s = metrics.seconds[n];
    out += fmt::format("{},{},{},{},{},{},{},{},{},{:.6g},{:.6g}\n", n, s.asked, s.inTime, s.late, s.failed,
                       s.rejected, s.attempts, s.connects, s.countCalls, s.unitsSent, s.unitsBeyond);
  }
  return out + fmt::format("# end,{}\n", metrics.seconds.size());
}

}  // namespace merlinbridge::lab
