#include "config/json_stream_splitter.hpp"

namespace merlinbridge::config {
namespace {

bool isBlank(char c) {
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}
// Of a number, or of true, false and null. Which, the reader of the whole finds out.
bool isWord(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || c == 'E' || c == '+' || c == '-' || c == '.';
}

}  // namespace

JsonStreamSplitter::End JsonStreamSplitter::take(std::string_view text) {
  while (at_ < text.size()) {
    const char c = text[at_];
    if (depth_ == 0) {
      if (!isBlank(c)) {
        if (c != '{') return End::bad;
        from_ = at_, want_ = Want::value;
        open(true);
      }
      ++at_;
      continue;
    }
    if (!look(c)) return End::bad;
    ++at_;
    if (depth_ == 0) return End::object;
  }
  return End::more;
}

bool JsonStreamSplitter::look(char c) {
  if (inText_) {
    if (static_cast<unsigned char>(c) < 0x20) return false;
    if (escaped_)
      escaped_ = false;
    else if (c == '\\')
      escaped_ = true;
    else if (c == '"')
      inText_ = false;
    return true;
  }
  if (isWord(c)) {
    if (inWord_) return true;
    if (want_ != Want::value && want_ != Want::firstValue) return false;
    want_ = Want::comma;
    return inWord_ = true;
  }
  inWord_ = false;
  if (isBlank(c)) return true;
  const bool value = want_ == Want::value || want_ == Want::firstValue;
  switch (c) {
    case '"':
      if (!value && want_ != Want::key && want_ != Want::firstKey) return false;
      want_ = value ? Want::comma : Want::colon;
      return inText_ = true;
    case ':':
      if (want_ != Want::colon) return false;
      want_ = Want::value;
      return true;
    case ',':
      if (want_ != Want::comma) return false;
      want_ = inObject() ? Want::key : Want::value;
      return true;
    case '{':
    case '[':
      return value && open(c == '{');
    case '}':
    case ']':
      return close(c == '}');
    default:
      return false;
  }
}

bool JsonStreamSplitter::open(bool object) {
  if (depth_ == kDeepest) return false;
  const std::uint64_t bit = std::uint64_t{1} << depth_++;
  objects_ = object ? objects_ | bit : objects_ & ~bit;
  want_ = object ? Want::firstKey : Want::firstValue;
  return true;
}

bool JsonStreamSplitter::close(bool object) {
  if (inObject() != object) return false;
  if (want_ != Want::comma && want_ != (object ? Want::firstKey : Want::firstValue)) return false;
  --depth_;
  want_ = Want::comma;
  return true;
}

}  // namespace merlinbridge::config
