#include "lab/csv.hpp"

#include <utility>

#include "lab/lab_error.hpp"

namespace merlinbridge::lab {
namespace {

/// Takes a text character by character and gathers its lines.
class CsvParser {
 public:
  void take(char character, bool beforeQuote) {
    if (inQuotes_) return takeQuoted(character, beforeQuote);
    switch (character) {
      case '"':
        inQuotes_ = true;
        break;
      case ',':
        endCell();
        break;
      case '\n':
        endCell();
        lines_.push_back(std::exchange(line_, {}));
        break;
      case '\r':
        break;
      default:
        cell_ += character;
    }
  }
  bool insideLine() const { return inQuotes_ || !cell_.empty() || !line_.empty(); }
  std::vector<CsvLine> lines() && { return std::move(lines_); }

 private:
  void takeQuoted(char character, bool beforeQuote) {
    if (std::exchange(afterEscape_, false) || character != '"') {
      cell_ += character;
    } else if (beforeQuote) {
      afterEscape_ = true;  // The second quote of the pair stands for itself.
    } else {
      inQuotes_ = false;
    }
  }
  void endCell() { line_.push_back(std::exchange(cell_, {})); }

  std::vector<CsvLine> lines_;
  CsvLine line_;
  std::string cell_;
  bool inQuotes_ = false;
  bool afterEscape_ = false;
};

}  // namespace

std::string csvCell(const std::string& text) {
  if (text.find_first_of(",\"\n\r") == std::string::npos) return text;
  std::string cell = "\"";
  for (const char character : text) {
    if (character == '"') cell += '"';
    cell += character;
  }
  return cell + '"';
}

std::vector<CsvLine> parseCsv(const std::string& text, const std::string& file) {
  CsvParser parser;
  for (std::size_t at = 0; at < text.size(); ++at)
    parser.take(text[at], at + 1 < text.size() && text[at + 1] == '"');
  if (parser.insideLine()) throw LabError(file + ": the table is cut short");
  return std::move(parser).lines();
}

}  // namespace merlinbridge::lab
