#include "lab/csv.hpp"

#include <utility>

#include "lab/lab_error.hpp"

namespace merlinbridge::lab {
namespace {

/// Parses a text character by character and collects its lines.
class CsvParser {
 public:
  void consume(char character, bool nextIsQuote) {
    if (inQuotes_) return consumeQuoted(character, nextIsQuote);
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
  void consumeQuoted(char character, bool nextIsQuote) {
    if (std::exchange(quoteEscaped_, false) || character != '"') {
      cell_ += character;
    } else if (nextIsQuote) {
      quoteEscaped_ = true;  // The next quote is part of the cell's text.
    } else {
      inQuotes_ = false;
    }
  }
  void endCell() { line_.push_back(std::exchange(cell_, {})); }

  std::vector<CsvLine> lines_;
  CsvLine line_;
  std::string cell_;
  bool inQuotes_ = false;
  bool quoteEscaped_ = false;
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
  for (std::size_t index = 0; index < text.size(); ++index)
    parser.consume(text[index], index + 1 < text.size() && text[index + 1] == '"');
  if (parser.insideLine()) throw LabError(file + ": truncated table: the last line is incomplete");
  return std::move(parser).lines();
}

}  // namespace merlinbridge::lab
