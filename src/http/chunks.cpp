#include "http/chunks.hpp"

#include <algorithm>
#include <cstring>

#include "http/message.hpp"

namespace merlinbridge::http {
namespace {

int hexValue(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

}  // namespace

Chunks::End Chunks::take(char* data, std::size_t& decoded, std::size_t& raw, std::size_t size) {
  while (raw < size && at_ != At::done) {
    if (at_ == At::data) {
      const std::size_t n = std::min<std::uint64_t>(left_, size - raw);
      if (decoded != raw) std::memmove(data + decoded, data + raw, n);
      decoded += n, raw += n, left_ -= n;
      if (left_ == 0) at_ = At::dataEnd, digits_ = 0;
      continue;
    }
    const char c = data[raw++];
    switch (at_) {
      case At::size:
        if (const int value = hexValue(c); value >= 0) {
          if (++digits_ > 15) return End::bad;
          left_ = left_ * 16 + static_cast<std::uint64_t>(value);
        } else if (digits_ == 0) {
          return End::bad;
        } else if (c == '\r') {
          at_ = At::sizeEnd;
        } else if (c == ';' || c == ' ' || c == '\t') {
          at_ = At::extension, framing_ = 0;
        } else {
          return End::bad;
        }
        break;
      case At::extension:
        if (c == '\r') at_ = At::sizeEnd;
        if (c == '\n' || ++framing_ > kMostHead) return End::bad;
        break;
      case At::sizeEnd:
        if (c != '\n') return End::bad;
        at_ = left_ > 0 ? At::data : At::trailer, framing_ = 0;
        break;
      case At::dataEnd:  // CR, then LF
        if (c != (digits_ == 0 ? '\r' : '\n')) return End::bad;
        if (++digits_ == 2) at_ = At::size, digits_ = 0;
        break;
      case At::trailer:
        at_ = c == '\r' ? At::lastEnd : At::trailerLine;
        if (c == '\n') return End::bad;
        break;
      case At::trailerLine:
        if (c == '\n') at_ = At::trailer;
        if (++framing_ > kMostHead) return End::bad;
        break;
      case At::lastEnd:
        if (c != '\n') return End::bad;
        at_ = At::done;
        break;
      case At::data:
      case At::done:
        break;
    }
  }
  return at_ == At::done ? End::done : End::more;
}

}  // namespace merlinbridge::http
