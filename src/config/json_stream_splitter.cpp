#include "config/json_stream_splitter.hpp"

namespace merlinbridge::config {
namespace {

constexpr unsigned char kFirstPrintableByte = 0x20;

bool isBlank(char character) {
  return character == ' ' || character == '\t' || character == '\r' || character == '\n';
}

// Of a number, or of true, false and null.
bool isWordCharacter(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
         character == 'E' || character == '+' || character == '-' || character == '.';
}

}  // namespace

JsonStreamSplitter::End JsonStreamSplitter::take(std::string_view text) {
  for (; position_ < text.size(); ++position_) {
    const char character = text[position_];
    if (depth_ > 0) {
      if (!accept(character)) return End::bad;
      if (depth_ > 0) continue;
      ++position_;
      return End::object;
    }
    if (isBlank(character)) continue;
    if (character != '{') return End::bad;
    objectStart_ = position_;
    expected_ = Expected::value;
    open(Container::object);
  }
  return End::more;
}

bool JsonStreamSplitter::accept(char character) {
  if (token_ == Token::text || token_ == Token::escape) return acceptInText(character);
  if (isWordCharacter(character)) return acceptWord();
  token_ = Token::none;
  return isBlank(character) || acceptStructure(character);
}

bool JsonStreamSplitter::acceptInText(char character) {
  if (static_cast<unsigned char>(character) < kFirstPrintableByte) return false;
  if (token_ == Token::escape)
    token_ = Token::text;
  else if (character == '\\')
    token_ = Token::escape;
  else if (character == '"')
    token_ = Token::none;
  return true;
}

bool JsonStreamSplitter::acceptWord() {
  if (token_ == Token::word) return true;
  if (!expectsValue()) return false;
  expected_ = Expected::comma;
  token_ = Token::word;
  return true;
}

bool JsonStreamSplitter::acceptStructure(char character) {
  switch (character) {
    case '"':
      return acceptQuote();
    case ':':
      if (expected_ != Expected::colon) return false;
      expected_ = Expected::value;
      return true;
    case ',':
      if (expected_ != Expected::comma) return false;
      expected_ = innermost() == Container::object ? Expected::key : Expected::value;
      return true;
    case '{':
      return expectsValue() && open(Container::object);
    case '[':
      return expectsValue() && open(Container::array);
    case '}':
      return close(Container::object);
    case ']':
      return close(Container::array);
    default:
      return false;
  }
}

bool JsonStreamSplitter::acceptQuote() {
  const bool value = expectsValue();
  if (!value && expected_ != Expected::key && expected_ != Expected::firstKey) return false;
  expected_ = value ? Expected::comma : Expected::colon;
  token_ = Token::text;
  return true;
}

bool JsonStreamSplitter::open(Container container) {
  if (depth_ == kMaxDepth) return false;
  const std::uint64_t bit = std::uint64_t{1} << depth_;
  ++depth_;
  const bool object = container == Container::object;
  objects_ = object ? objects_ | bit : objects_ & ~bit;
  expected_ = object ? Expected::firstKey : Expected::firstValue;
  return true;
}

bool JsonStreamSplitter::close(Container container) {
  if (innermost() != container) return false;
  const Expected empty = container == Container::object ? Expected::firstKey : Expected::firstValue;
  if (expected_ != Expected::comma && expected_ != empty) return false;
  --depth_;
  expected_ = Expected::comma;
  return true;
}

}  // namespace merlinbridge::config
