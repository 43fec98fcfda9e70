#include "http/chunks.hpp"

#include <algorithm>
#include <cstring>

#include "http/message.hpp"

namespace merlinbridge::http {
namespace {

constexpr int kMostDigits = 15;  // of a chunk's size, so that it fits 64 bits with room to spare

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
      decoded += n;
      raw += n;
      left_ -= n;
      if (left_ == 0) enter(At::dataEnd);
    } else if (!takeFraming(data[raw++])) {
      return End::bad;
    }
  }
  return at_ == At::done ? End::done : End::more;
}

void Chunks::enter(At next) {
  at_ = next;
  digits_ = 0;
}

bool Chunks::takeFraming(char c) {
  switch (at_) {
    case At::size:
      return takeSize(c);
    case At::extension:
      if (c == '\r') at_ = At::sizeEnd;
      return c != '\n' && ++framing_ <= kMaxHeadBytes;
    case At::sizeEnd:
      at_ = left_ > 0 ? At::data : At::trailer;
      framing_ = 0;
      return c == '\n';
    case At::dataEnd: {  // CR, then LF
      const bool expected = c == (digits_ == 0 ? '\r' : '\n');
      if (++digits_ == 2) enter(At::size);
      return expected;
    }
    case At::trailer:
      at_ = c == '\r' ? At::lastEnd : At::trailerLine;
      return c != '\n';
    case At::trailerLine:
      if (c == '\n') at_ = At::trailer;
      return ++framing_ <= kMaxHeadBytes;
    case At::lastEnd:
      at_ = At::done;
      return c == '\n';
    case At::data:
    case At::done:
      break;
  }
  return true;
}

bool Chunks::takeSize(char c) {
  if (const int value = hexValue(c); value >= 0) {
    left_ = left_ * 16 + static_cast<std::uint64_t>(value);
    return ++digits_ <= kMostDigits;
  }
  if (digits_ == 0) return false;
  if (c == '\r') {
    at_ = At::sizeEnd;
    return true;
  }
  at_ = At::extension;
  framing_ = 0;
  return c == ';' || c == ' ' || c == '\t';
}

}  // namespace merlinbridge::http
