#include "daemon/log_stream.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <string_view>

#include "util/log.hpp"

namespace merlinbridge::daemon {
namespace {

// Including the line feed. Longer lines are cut: a pipe that polls as writable accepts this many bytes
// without blocking.
constexpr std::size_t kMaxLineBytes = 4096;
// How many times a line's system calls are repeated when signals interrupt them.
constexpr int kMaxInterruptedWrites = 16;

bool isSocket(int descriptor) {
  struct stat status {};
  return ::fstat(descriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

// Always in text format: the stream buffer does not know the format of the other lines.
std::string droppedLine(std::uint64_t dropped) {
  std::string line = formatLogLine(LogFormat::text, LogEvent::logLinesDropped, LogField{"count", dropped});
  line += '\n';
  return line;
}

}  // namespace

LogBuffer::LogBuffer(int descriptor) : descriptor_(descriptor), isSocket_(isSocket(descriptor)) {}

LogBuffer::int_type LogBuffer::overflow(int_type character) {
  if (!traits_type::eq_int_type(character, traits_type::eof())) append(traits_type::to_char_type(character));
  return traits_type::not_eof(character);
}

std::streamsize LogBuffer::xsputn(const char* text, std::streamsize size) {
  for (const char character : std::string_view(text, static_cast<std::size_t>(size))) append(character);
  return size;
}

void LogBuffer::append(char character) {
  if (character == '\n') return writeLine();
  if (line_.size() < kMaxLineBytes - 1) line_.push_back(character);
}

void LogBuffer::writeLine() {
  line_.push_back('\n');
  if (dropped_ > 0 && tryWrite(droppedLine(dropped_))) dropped_ = 0;
  if (!tryWrite(line_)) ++dropped_;
  line_.clear();
}

// If only part of a line is accepted, the rest is dropped.
bool LogBuffer::tryWrite(const std::string& text) const {
  for (int tries = 0; tries < kMaxInterruptedWrites; ++tries) {
    pollfd state{descriptor_, POLLOUT, 0};
    const int ready = ::poll(&state, 1, 0);
    if (ready < 0 && errno == EINTR) continue;
    if (ready <= 0) return false;
    const ssize_t written = isSocket_
                                ? ::send(descriptor_, text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL)
                                : ::write(descriptor_, text.data(), text.size());
    if (written < 0 && errno == EINTR) continue;
    return written == static_cast<ssize_t>(text.size());
  }
  return false;
}

}  // namespace merlinbridge::daemon
