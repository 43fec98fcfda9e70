#pragma once

#include <cstdint>
#include <ostream>
#include <streambuf>
#include <string>

namespace merlinbridge::daemon {

/// Writes whole lines to a descriptor and never waits: a line that the descriptor does not accept at once is
/// dropped, and the next one that it accepts is preceded by a line log_lines_dropped with their number. The
/// stream never becomes bad. For the gateway's one thread.
class LogBuffer final : public std::streambuf {
 public:
  /// The descriptor stays the caller's.
  explicit LogBuffer(int descriptor);

 protected:
  int_type overflow(int_type character) override;
  std::streamsize xsputn(const char* text, std::streamsize size) override;

 private:
  void append(char character);
  /// Writes the line that is complete, after a line log_lines_dropped if lines were dropped before.
  void writeLine();
  /// Writes without waiting. False: the descriptor did not accept all of the text.
  bool tryWrite(const std::string& text) const;

  const int descriptor_;
  const bool isSocket_;        ///< Decided once: a socket is written to with flags of its own.
  std::string line_;           ///< What has come of the line that is being written.
  std::uint64_t dropped_ = 0;  ///< Lines since the last one that was accepted.
};

/// An output stream on a LogBuffer of its own. The descriptor stays the caller's.
class LogStream final : public std::ostream {
 public:
  explicit LogStream(int descriptor) : std::ostream(nullptr), buffer_(descriptor) { rdbuf(&buffer_); }

 private:
  LogBuffer buffer_;
};

}  // namespace merlinbridge::daemon
