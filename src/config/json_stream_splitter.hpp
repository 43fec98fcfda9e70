#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace merlinbridge::config {

/// Finds where JSON objects end that come one after another, bit by bit, be each on a line of its own or
/// indented over many. It looks at what holds the text together and leaves the rest to the reader of the
/// whole: guards against a list cut short, whose open brackets would swallow all the lists after it.
class JsonStreamSplitter {
 public:
  enum class End { more, object, bad };

  /// Reads on from where it stopped. `object`: one object ends right before `at()`, and what follows it is
  /// not looked at until the next call.
  End take(std::string_view text);
  std::size_t at() const { return at_; }      // bytes of the text that have been looked at
  std::size_t from() const { return from_; }  // where the piece begins
  bool begun() const { return depth_ > 0; }
  /// The reader has taken so many bytes from the front.
  void dropped(std::size_t n) {
    at_ -= n;
    from_ -= from_ < n ? from_ : n;
  }

 private:
  enum class Want { value, firstValue, key, firstKey, colon, comma };
  static constexpr int kDeepest = 64;

  bool look(char c);
  bool open(bool object);
  bool close(bool object);
  bool inObject() const { return depth_ > 0 && (objects_ >> (depth_ - 1) & 1); }

  std::size_t at_ = 0, from_ = 0;
  int depth_ = 0;
  std::uint64_t objects_ = 0;  ///< one bit a depth: an object, or an array
  Want want_ = Want::value;
  bool inText_ = false, escaped_ = false, inWord_ = false;
};

}  // namespace merlinbridge::config
