#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace merlinbridge::config {

/// Finds where JSON objects end that come one after another in a stream, each on a line of its own or
/// indented over many. Checks the structure (brackets, commas, colons, strings) and leaves the values to the
/// parser of the complete object: an object that is cut short is bad as soon as the next one begins, instead
/// of swallowing all that follow. Keeps no text; the reader owns the buffer.
class JsonStreamSplitter {
 public:
  enum class Result {
    incomplete,  ///< All of the text was looked at, and no object has ended.
    object,      ///< One object ends right before position(); what follows it is looked at by the next call.
    invalid      ///< The byte at position() cannot stand there. The splitter is not to be used any further.
  };

  /// Goes on at position(). `text` is all that the reader holds, from the first byte that was not
  /// prefixRemoved().
  Result scan(std::string_view text);
  /// Bytes of the text that have been looked at.
  std::size_t position() const { return position_; }
  /// Where the object begins that has begun or ended last.
  std::size_t objectStart() const { return objectStart_; }
  /// Whether an object has begun and not ended.
  bool insideObject() const { return depth_ > 0; }
  /// The reader has removed so many bytes from the front of its text; at most position().
  void prefixRemoved(std::size_t bytes) {
    position_ -= bytes;
    objectStart_ -= objectStart_ < bytes ? objectStart_ : bytes;
  }

 private:
  /// What may stand next, spaces aside.
  enum class Expected { value, firstValue, key, firstKey, colon, comma };
  /// What the byte before was part of.
  enum class Token {
    none,
    literal,  ///< A number, true, false or null; which, the parser finds out.
    string,   ///< A string.
    escape    ///< A string, right after a backslash.
  };
  enum class Container { array, object };

  /// Objects and arrays within one another; more are bad. One bit of objectBits_ for each.
  static constexpr int kMaxDepth = 64;

  /// These look at one byte of an object. False: it cannot stand there.
  bool accept(char character);
  bool acceptInString(char character);
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
  std::uint64_t objectBits_ = 0;  ///< A bit for each depth: 1 is an object, 0 an array.
  Expected expected_ = Expected::value;
  Token token_ = Token::none;
};

}  // namespace merlinbridge::config
