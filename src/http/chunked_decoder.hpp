#pragma once

#include <cstddef>
#include <cstdint>

namespace merlinbridge::http {

/// Decodes a body in chunked transfer coding (RFC 9112, section 7.1), in place and incrementally. Decoded
/// bytes move down over the framing that preceded them. Extensions and trailers are skipped. Keeps no pointer
/// to the data; not thread-safe.
class ChunkedDecoder {
 public:
  /// How far the decoding has come.
  enum class Result {
    incomplete,  ///< The body is incomplete: further bytes are needed.
    done,        ///< The body is complete. Bytes after it are left unread.
    invalid      ///< The framing is malformed, or an extension or the trailers exceed kMaxHeadBytes.
  };

  /// Decodes as much as there is. In `data`, [0, decoded) is the body so far and [raw, size) the bytes not
  /// read yet; both ends are moved on. The bytes between `decoded` and `raw` are undefined afterwards.
  Result decode(char* data, std::size_t& decoded, std::size_t& raw, std::size_t size);

 private:
  // What the next byte belongs to.
  enum class State {
    size,         // the chunk's size, in hex digits
    extension,    // what follows the size
    sizeEnd,      // the LF that ends the line of the size
    data,         // the chunk's data
    dataCr,       // the CR after the data
    dataLf,       // the LF after the data
    trailer,      // the first byte of a trailer's line, or of the empty line that ends the body
    trailerLine,  // the rest of a trailer's line
    lastLf,       // the LF of the empty line that ends the body
    done
  };

  void readData(char* data, std::size_t& decoded, std::size_t& raw, std::size_t size);
  bool readFraming(char byte);
  bool readSize(char byte);
  bool readExtension(char byte);
  bool readTrailerLine(char byte);

  State state_ = State::size;
  std::uint64_t remaining_ = 0;   // bytes of the chunk still to come; while its size is read, the size so far
  int sizeDigits_ = 0;            // digits of the size so far
  std::size_t skippedBytes_ = 0;  // of the extension, or of all trailers
};

}  // namespace merlinbridge::http
