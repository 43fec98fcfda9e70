#include "config/json_stream_splitter.hpp"

namespace merlinbridge::config {
namespace {

constexpr unsigned char kFirstPrintableByte = 0x20;

bool isWhitespace(char character) {
  return character == ' ' || character == '\t' || character == '\r' || character == '\n';
}

// Whether a number, true, false or null can contain the character.
bool isLiteralCharacter(char character) {
  return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
         character == 'E' || character == '+' || character == '-' || character == '.';
}

}  // namespace

JsonStreamSplitter::Result JsonStreamSplitter::scan(std::string_view text) {
  for (; position_ < text.size(); ++position_) {
    const char character = text[position_];
    if (depth_ > 0) {
      if (!accept(character)) return Result::invalid;
      if (depth_ > 0) continue;
      ++position_;
      return Result::object;
    }
    if (isWhitespace(character)) continue;
    if (character != '{') return Result::invalid;
    objectStart_ = position_;
    expected_ = Expected::value;
    ++tokenCount_;
    openContainer(Container::object);
  }
  return Result::incomplete;
}

bool JsonStreamSplitter::accept(char character) {
  if (token_ == Token::string || token_ == Token::escape) return acceptInString(character);
  if (isLiteralCharacter(character)) return acceptLiteral();
  token_ = Token::none;
  return isWhitespace(character) || acceptStructure(character);
}

bool JsonStreamSplitter::acceptInString(char character) {
  if (static_cast<unsigned char>(character) < kFirstPrintableByte) return false;
  if (token_ == Token::escape)
    token_ = Token::string;
  else if (character == '\\')
    token_ = Token::escape;
  else if (character == '"')
    endString();
  return true;
}

void JsonStreamSplitter::endString() {
  token_ = Token::none;
  ++tokenCount_;
}

bool JsonStreamSplitter::acceptLiteral() {
  if (token_ == Token::literal) return true;
  if (!expectsValue()) return false;
  expected_ = Expected::comma;
  token_ = Token::literal;
  ++tokenCount_;
  return true;
}

bool JsonStreamSplitter::acceptStructure(char character) {
  ++tokenCount_;
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
      return expectsValue() && openContainer(Container::object);
    case '[':
      return expectsValue() && openContainer(Container::array);
    case '}':
      return closeContainer(Container::object);
    case ']':
      return closeContainer(Container::array);
    default:
      return false;
  }
}

bool JsonStreamSplitter::acceptQuote() {
  const bool value = expectsValue();
  if (!value && expected_ != Expected::key && expected_ != Expected::firstKey) return false;
  expected_ = value ? Expected::comma : Expected::colon;
  token_ = Token::string;
  return true;
}

bool JsonStreamSplitter::openContainer(Container container) {
  if (depth_ == kMaxDepth) return false;
  const std::uint64_t bit = std::uint64_t{1} << depth_;
  ++depth_;
  const bool object = container == Container::object;
  objectBits_ = object ? objectBits_ | bit : objectBits_ & ~bit;
  expected_ = object ? Expected::firstKey : Expected::firstValue;
  return true;
}

bool JsonStreamSplitter::closeContainer(Container container) {
  if (innermost() != container) return false;
  const Expected empty = container == Container::object ? Expected::firstKey : Expected::firstValue;
  if (expected_ != Expected::comma && expected_ != empty) return false;
  --depth_;
  expected_ = Expected::comma;
  return true;
}

}  // namespace merlinbridge::config
