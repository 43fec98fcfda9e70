#include "http/chunked_decoder.hpp"

#include <algorithm>
#include <cstring>

#include "http/limits.hpp"

namespace merlinbridge::http {
namespace {

constexpr int kHexBase = 16;
constexpr int kDecimalBase = 10;
// Limits a chunk's size to 60 bits, so that sums with it cannot overflow 64 bits.
constexpr int kMaxSizeDigits = 15;
constexpr int kNoDigit = -1;

int hexValue(char digit) {
  if (digit >= '0' && digit <= '9') return digit - '0';
  if (digit >= 'a' && digit <= 'f') return digit - 'a' + kDecimalBase;
  if (digit >= 'A' && digit <= 'F') return digit - 'A' + kDecimalBase;
  return kNoDigit;
}

}  // namespace

ChunkedDecoder::Result ChunkedDecoder::decode(char* data, std::size_t& decoded, std::size_t& raw,
                                              std::size_t size) {
  while (raw < size && state_ != State::done) {
    if (state_ == State::data) {
      readData(data, decoded, raw, size);
    } else if (!readFraming(data[raw++])) {
      return Result::invalid;
    }
  }
  return state_ == State::done ? Result::done : Result::incomplete;
}

void ChunkedDecoder::readData(char* data, std::size_t& decoded, std::size_t& raw, std::size_t size) {
  const std::size_t count = std::min<std::uint64_t>(remaining_, size - raw);
  if (decoded != raw) std::memmove(data + decoded, data + raw, count);
  decoded += count;
  raw += count;
  remaining_ -= count;
  if (remaining_ == 0) state_ = State::dataCr;
}

// Reads one byte of the framing. Returns false if it is not allowed there.
bool ChunkedDecoder::readFraming(char byte) {
  switch (state_) {
    case State::size:
      return readSize(byte);
    case State::extension:
      return readExtension(byte);
    case State::sizeEnd:
      state_ = remaining_ > 0 ? State::data : State::trailer;
      skippedBytes_ = 0;
      return byte == '\n';
    case State::dataCr:
      state_ = State::dataLf;
      return byte == '\r';
    case State::dataLf:
      state_ = State::size;
      sizeDigits_ = 0;
      return byte == '\n';
    case State::trailer:
      state_ = byte == '\r' ? State::lastLf : State::trailerLine;
      return byte != '\n';
    case State::trailerLine:
      return readTrailerLine(byte);
    case State::lastLf:
      state_ = State::done;
      return byte == '\n';
    case State::data:
    case State::done:
      break;
  }
  return true;
}

bool ChunkedDecoder::readSize(char byte) {
  if (const int value = hexValue(byte); value != kNoDigit) {
    remaining_ = remaining_ * kHexBase + static_cast<std::uint64_t>(value);
    ++sizeDigits_;
    return sizeDigits_ <= kMaxSizeDigits;
  }
  if (sizeDigits_ == 0) return false;
  if (byte == '\r') {
    state_ = State::sizeEnd;
    return true;
  }
  state_ = State::extension;
  skippedBytes_ = 0;
  return byte == ';' || byte == ' ' || byte == '\t';
}

bool ChunkedDecoder::readExtension(char byte) {
  if (byte == '\r') state_ = State::sizeEnd;
  ++skippedBytes_;
  return byte != '\n' && skippedBytes_ <= kMaxHeadBytes;
}

bool ChunkedDecoder::readTrailerLine(char byte) {
  if (byte == '\n') state_ = State::trailer;
  ++skippedBytes_;
  return skippedBytes_ <= kMaxHeadBytes;
}

}  // namespace merlinbridge::http
