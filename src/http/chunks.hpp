#pragma once

#include <cstddef>
#include <cstdint>

namespace merlinbridge::http {

/// Decodes a chunked body in place and bit by bit. What is decoded moves down over what framed it.
class Chunks {
 public:
  enum class End { more, done, bad };

  /// Of data, [0, decoded) is the body so far and [raw, size) has not been read; both ends move on.
  End take(char* data, std::size_t& decoded, std::size_t& raw, std::size_t size);

 private:
  enum class At { size, sizeEnd, extension, data, dataEnd, trailer, trailerLine, lastEnd, done };

  void enter(At next);
  bool takeFraming(char c);  ///< one byte that is no data; false: it must not stand there
  bool takeSize(char c);

  At at_ = At::size;
  std::uint64_t left_ = 0;
  int digits_ = 0;
  std::size_t framing_ = 0;  ///< bytes of one extension, or of all trailers
};

}  // namespace merlinbridge::http
