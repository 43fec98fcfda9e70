#pragma once

#include <cstdint>
#include <ostream>
#include <streambuf>
#include <string>

namespace merlinbridge::daemon {

/// Writes whole lines to a descriptor without blocking. A line that the descriptor does not accept at once is
/// dropped; the next line that it accepts is preceded by a log_lines_dropped line with the number of dropped
/// lines. Failed writes do not set the stream's error state. Not thread-safe.
class LogBuffer final : public std::streambuf {
 public:
  /// The caller keeps ownership of the descriptor.
  explicit LogBuffer(int descriptor);

 protected:
  int_type overflow(int_type character) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;

 private:
  void append(char character);
  /// Writes the complete line, preceded by a log_lines_dropped line if lines were dropped before.
  void writeLine();
  /// Writes without blocking. Returns false if the descriptor did not accept the whole text.
  bool tryWrite(const std::string& text) const;

  const int descriptor_;
  const bool isSocket_;        ///< Sockets are written with send() and its flags.
  std::string line_;           ///< The incomplete line.
  std::uint64_t dropped_ = 0;  ///< Lines dropped and not yet reported.
};

/// An output stream that writes to a LogBuffer. The caller keeps ownership of the descriptor.
class LogStream final : public std::ostream {
 public:
  explicit LogStream(int descriptor) : std::ostream(nullptr), buffer_(descriptor) { rdbuf(&buffer_); }

 private:
  LogBuffer buffer_;
};

}  // namespace merlinbridge::daemon
