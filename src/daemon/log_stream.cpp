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

// With the line feed. A pipe that is ready accepts so many bytes at once without a wait; longer lines are
// cut.
constexpr std::size_t kMaxLineBytes = 4096;
// So often a call for one line is made while signals interrupt it.
constexpr int kMaxTriesPerLine = 16;

bool isSocket(int descriptor) {
  struct stat status {};
  return ::fstat(descriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

// In text form whatever form the other lines have: a stream of characters does not know it.
std::string droppedLine(std::uint64_t dropped) {
  std::string line = formatLogLine(LogFormat::text, LogEvent::logLinesDropped, LogField{"count", dropped});
  line += '\n';
  return line;
}

}  // namespace

LogBuffer::LogBuffer(int descriptor) : descriptor_(descriptor), isSocket_(isSocket(descriptor)) {}

LogBuffer::int_type LogBuffer::overflow(int_type character) {
  if (!traits_type::eq_int_type(character, traits_type::eof())) add(traits_type::to_char_type(character));
  return traits_type::not_eof(character);
}

std::streamsize LogBuffer::xsputn(const char* text, std::streamsize size) {
  for (const char character : std::string_view(text, static_cast<std::size_t>(size))) add(character);
  return size;
}

void LogBuffer::add(char character) {
  if (character == '\n') return writeLine();
  if (line_.size() < kMaxLineBytes - 1) line_.push_back(character);
}

void LogBuffer::writeLine() {
  line_.push_back('\n');
  if (dropped_ > 0 && writeNow(droppedLine(dropped_))) dropped_ = 0;
  if (!writeNow(line_)) ++dropped_;
  line_.clear();
}

// The rest of a line that was accepted in part is given up.
bool LogBuffer::writeNow(const std::string& text) const {
  for (int tries = 0; tries < kMaxTriesPerLine; ++tries) {
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
