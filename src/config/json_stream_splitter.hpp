#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace merlinbridge::config {

/// Splits a stream of consecutive JSON objects into single objects, whether each is on a line of its own or
/// spread over several. Checks only the structure (brackets, commas, colons, strings) and leaves the values
/// to the parser of the complete object. A truncated object is thus invalid as soon as the next one begins,
/// and does not swallow those that follow. Stores no text; the caller owns the buffer.
class JsonStreamSplitter {
 public:
  /// How a scan ended.
  enum class Result {
    incomplete,  ///< The whole text was scanned without reaching the end of an object.
    object,      ///< An object ends just before position(); the next call goes on from there.
    invalid      ///< The byte at position() is not allowed there. The splitter must not be used any further.
  };

  /// Scans on from position(). `text` is the caller's whole buffer: all bytes of the stream but those
  /// reported to prefixRemoved().
  Result scan(std::string_view text);
  /// Number of bytes of the text that have been scanned.
  std::size_t position() const { return position_; }
  /// Offset of the object that began last.
  std::size_t objectStart() const { return objectStart_; }
  /// How many tokens have begun or ended so far: brackets, commas, colons, strings and literals. Does not
  /// grow with white space, nor inside a string or a literal, so a stream whose count stands still never
  /// completes an object.
  std::uint64_t tokenCount() const { return tokenCount_; }
  /// Whether an object has begun but not ended.
  bool insideObject() const { return depth_ > 0; }
  /// The caller has removed `bytes` bytes, at most position(), from the front of its buffer.
  void prefixRemoved(std::size_t bytes) {
    position_ -= bytes;
    objectStart_ -= objectStart_ < bytes ? objectStart_ : bytes;
  }

 private:
  /// What must come next, apart from white space.
  enum class Expected { value, firstValue, key, firstKey, colon, comma };
  /// What the previous byte belongs to.
  enum class Token {
    none,
    literal,  ///< A number, true, false or null; the parser checks which.
    string,   ///< A string.
    escape    ///< A string, just after a backslash.
  };
  enum class Container { array, object };

  /// The deepest nesting of objects and arrays that is allowed: objectBits_ has a bit for each level.
  static constexpr int kMaxDepth = 64;

  /// Each of these checks one byte of an object. Returns false if it is not allowed there.
  bool accept(char character);
  bool acceptInString(char character);
  void endString();
  bool acceptLiteral();
  bool acceptStructure(char character);
  bool acceptQuote();
  bool openContainer(Container container);
  bool closeContainer(Container container);

  bool expectsValue() const { return expected_ == Expected::value || expected_ == Expected::firstValue; }
  Container innermost() const {
    const bool object = depth_ > 0 && ((objectBits_ >> (depth_ - 1)) & 1) != 0;
    return object ? Container::object : Container::array;
  }

  std::size_t position_ = 0;
  std::size_t objectStart_ = 0;
  int depth_ = 0;
  std::uint64_t objectBits_ = 0;  ///< A bit for each level: 1 for an object, 0 for an array.
  Expected expected_ = Expected::value;
  Token token_ = Token::none;
  std::uint64_t tokenCount_ = 0;
};

}  // namespace merlinbridge::config
