#pragma once

#include <cstdint>
#include <ostream>
#include <streambuf>
#include <string>

namespace merlinbridge::daemon {

/// Writes whole lines to a descriptor and never waits: a line that the descriptor does not take at once is
/// dropped, and the next one that it takes is preceded by how many were. It never becomes bad.
class LogBuffer final : public std::streambuf {
 public:
  /// The descriptor stays the caller's.
  explicit LogBuffer(int descriptor);

 protected:
  int_type overflow(int_type character) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;

 private:
  void add(char character);
  void writeLine();
  bool writeNow(const std::string& text) const;

  const int descriptor_;
  const bool isSocket_;
  std::string line_;
  std::uint64_t dropped_ = 0;
};

/// An output stream on a LogBuffer.
class LogStream final : public std::ostream {
 public:
  explicit LogStream(int descriptor) : std::ostream(nullptr), buffer_(descriptor) { rdbuf(&buffer_); }

 private:
  LogBuffer buffer_;
};

}  // namespace merlinbridge::daemon
