#pragma once

#include <cstddef>
#include <cstdint>

namespace merlinbridge::http {

/// Decodes a body in chunked transfer coding (RFC 9112, section 7.1), in place and incrementally: decoded
/// bytes are moved down over the framing that precedes them. Chunk extensions and trailers are skipped. Keeps
/// no pointer to the data. Not thread-safe.
class ChunkedDecoder {
 public:
  /// State of the decoding.
  enum class Result {
    incomplete,  ///< The body is incomplete: more bytes are needed.
    done,        ///< The body is complete. Bytes after it are not read.
    invalid      ///< The framing is malformed, or an extension or the trailers exceed kMaxHeadBytes.
  };

  /// Decodes all bytes that are available. In `data`, [0, decoded) is the body decoded so far and [raw, size)
  /// the bytes not read yet; both offsets are advanced. The bytes between `decoded` and `raw` are undefined
  /// afterwards.
  Result decode(char* data, std::size_t& decoded, std::size_t& raw, std::size_t size);

 private:
  // What the next byte belongs to.
  enum class State {
    size,         // the chunk's size, in hex digits
    extension,    // a chunk extension, after the size
    sizeEnd,      // the LF at the end of the size line
    data,         // the chunk's data
    dataCr,       // the CR after the data
    dataLf,       // the LF after the data
    trailer,      // the first byte of a trailer line, or of the empty line that ends the body
    trailerLine,  // the rest of a trailer line
    lastLf,       // the LF of the empty line that ends the body
    done
  };

  void readData(char* data, std::size_t& decoded, std::size_t& raw, std::size_t size);
  bool readFraming(char byte);
  bool readSize(char byte);
  bool readExtension(char byte);
  bool readTrailerLine(char byte);

  State state_ = State::size;
  std::uint64_t remaining_ = 0;   // bytes left in the chunk; while its size is being read, the value so far
  int sizeDigits_ = 0;            // digits of the size read so far
  std::size_t skippedBytes_ = 0;  // in the extension, or in all trailers
};

}  // namespace merlinbridge::http
