#include "http/message.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

namespace merlinbridge::http {
namespace {

char lower(char c) {
  return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c;
}
bool isToken(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') ||
         (c != 0 && std::strchr("!#$%&'*+-.^_`|~", c) != nullptr);
}
bool isToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return isToken(c); });
}
bool isDigits(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}
std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

}  // namespace

bool same(std::string_view a, std::string_view b) {
  if (a.size() != b.size()) return false;
  if (std::memcmp(a.data(), b.data(), a.size()) == 0) return true;  // as nearly all are written
  return std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return lower(x) == lower(y); });
}

bool listContains(std::string_view list, std::string_view word) {
  while (!list.empty()) {
    const auto comma = std::min(list.find(','), list.size());
    if (same(trimmed(list.substr(0, comma)), word)) return true;
    list.remove_prefix(std::min(list.size(), comma + 1));
  }
  return false;
}

std::string_view Message::get(std::string_view name) const {
  for (const FieldParts& f : fields_)
    if (same(view(f.name), name)) return view(f.value);
  return {};
}

void Message::clear() {
  data_ = nullptr;
  stage_ = Stage::head;
  blame_ = status_ = 0;
  keepAlive_ = true, expects_ = oldVersion_ = false;
  start_ = headSeen_ = headEnd_ = decoded_ = raw_ = 0;
  length_ = 0;
  framing_ = Framing::none;
  method_ = target_ = {};
  fields_.clear();
  chunks_ = {};
}

Message::Stage Message::bad(int status) {
  blame_ = status, keepAlive_ = false;
  return stage_ = Stage::bad;
}

Message::Stage Message::advance(char* data, std::size_t size) {
  data_ = data;
  if (stage_ == Stage::head) {
    // Empty lines before a request are passed over, as the standard asks.
    while (kind_ == Kind::request && start_ + 1 < size && data[start_] == '\r' && data[start_ + 1] == '\n')
      start_ += 2;
    const std::string_view bytes(data, size);
    const std::size_t from = std::max(start_, headSeen_ > 3 ? headSeen_ - 3 : 0);
    const std::size_t end = bytes.find("\r\n\r\n", from);
    headSeen_ = size;
    if (std::min(end, size) > kMaxHeadBytes) return bad(431);
    if (end == std::string_view::npos) return stage_;
    headEnd_ = end + 4;
    if (readHead() == Stage::bad) return stage_;
    if (kind_ == Kind::answer && status_ / 100 == 1 && status_ != 101) {  // an interim answer is passed over
      const std::size_t skip = headEnd_;
      clear();
      start_ = headSeen_ = skip;
      return advance(data, size);
    }
    if (readFraming() == Stage::bad) return stage_;
  }
  return stage_ == Stage::body ? readBody(size) : stage_;
}

Message::Stage Message::ended() {
  if (stage_ == Stage::body && framing_ == Framing::untilClose) stage_ = Stage::done;
  return stage_;
}

Message::Stage Message::readHead() {
  std::size_t from = start_;
  const std::size_t last = headEnd_ - 2;
  for (bool first = true; from < last; first = false) {
    const char* const at = static_cast<const char*>(std::memchr(data_ + from, '\r', last - from));
    const std::size_t to = static_cast<std::size_t>(at - data_);
    if (data_[to + 1] != '\n') return bad(400);
    if (fields_.size() >= kMaxFields) return bad(431);
    if (!(first ? readStartLine(from, to) : readField(from, to))) return bad(400);
    from = to + 2;
  }
  return stage_;
}

bool Message::readStartLine(std::size_t from, std::size_t to) {
  const std::string_view line(data_ + from, to - from);
  const auto firstGap = line.find(' '), secondGap = line.find(' ', firstGap + 1);
  if (firstGap == std::string_view::npos) return false;
  const auto version = kind_ == Kind::answer ? line.substr(0, firstGap)
                                             : line.substr(std::min(secondGap, line.size() - 1) + 1);
  if (version != "HTTP/1.1" && version != "HTTP/1.0") return false;
  oldVersion_ = version == "HTTP/1.0";
  if (kind_ == Kind::answer) {
    const auto code = line.substr(firstGap + 1, 3);
    if (code.size() != 3 || !isDigits(code) || (line.size() > firstGap + 4 && line[firstGap + 4] != ' '))
      return false;
    status_ = (code[0] - '0') * 100 + (code[1] - '0') * 10 + (code[2] - '0');
    return status_ >= 100;
  }
  if (secondGap == std::string_view::npos || secondGap == firstGap + 1) return false;
  const auto target = line.substr(firstGap + 1, secondGap - firstGap - 1);
  if (!isToken(line.substr(0, firstGap))) return false;
  if (!std::all_of(target.begin(), target.end(), [](unsigned char c) { return c > 0x20 && c != 0x7f; }))
    return false;
  method_ = {static_cast<std::uint32_t>(from), static_cast<std::uint32_t>(firstGap)};
  target_ = {static_cast<std::uint32_t>(from + firstGap + 1), static_cast<std::uint32_t>(target.size())};
  return true;
}

bool Message::readField(std::size_t from, std::size_t to) {
  const std::string_view line(data_ + from, to - from);
  const auto colon = line.find(':');
  if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) return false;
  const auto value = trimmed(line.substr(colon + 1));
  if (std::any_of(value.begin(), value.end(), [](unsigned char c) { return c < 0x20 && c != '\t'; }))
    return false;
  fields_.push_back(
      {{static_cast<std::uint32_t>(from), static_cast<std::uint32_t>(colon)},
       {static_cast<std::uint32_t>(value.data() - data_), static_cast<std::uint32_t>(value.size())}});
  return true;
}

// Guards against two readers of one message that see different ends: whatever is not plain is bad.
Message::Stage Message::readFraming() {
  bool hasLength = false;
  std::string_view coding, connection;
  for (std::size_t n = 0; n < fields_.size(); ++n) {
    const auto [name, value] = field(n);
    if (same(name, "Content-Length")) {
      std::uint64_t length = 0;
      if (!isDigits(value)) return bad(400);
      const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length);
      if (error != std::errc{}) return bad(413);
      if (hasLength && length != length_) return bad(400);
      hasLength = true, length_ = length;
    } else if (same(name, "Transfer-Encoding")) {
      if (!coding.empty() || !same(value, "chunked")) return bad(400);
      coding = value;
    } else if (same(name, "Connection")) {
      if (listContains(value, "close")) keepAlive_ = false;
      connection = value;
    } else if (same(name, "Expect") && same(value, "100-continue")) {
      expects_ = true;
    }
  }
  if (oldVersion_ && !listContains(connection, "keep-alive")) keepAlive_ = false;
  if (!coding.empty() && (hasLength || oldVersion_)) return bad(400);
  framing_ = !coding.empty() ? Framing::chunked : hasLength ? Framing::length : Framing::none;
  if (kind_ == Kind::answer && framing_ == Framing::none && status_ != 204 && status_ != 304)
    framing_ = Framing::untilClose, keepAlive_ = false;
  if (kind_ == Kind::answer && (status_ == 204 || status_ == 304)) framing_ = Framing::none;
  decoded_ = raw_ = headEnd_;
  stage_ = Stage::body;
  if (wanted_ == Body::streamed) return stage_ = Stage::done;
  if (framing_ == Framing::length && length_ > maxBodyBytes_) return bad(413);
  return stage_;
}

Message::Stage Message::readBody(std::size_t size) {
  if (framing_ == Framing::none) {
    stage_ = Stage::done;
  } else if (framing_ == Framing::chunked) {
    const auto end = chunks_.take(data_, decoded_, raw_, size);
    if (end == Chunks::End::bad) return bad(400);
    // What frames the chunks is bounded too: guards against a long wrapping round a short body.
    if (decoded_ - headEnd_ > maxBodyBytes_ || raw_ - headEnd_ > 2 * maxBodyBytes_) return bad(413);
    if (end == Chunks::End::done) stage_ = Stage::done;
  } else {
    const std::size_t wanted = framing_ == Framing::length ? headEnd_ + length_ : size;
    decoded_ = raw_ = std::min(size, wanted);
    if (decoded_ - headEnd_ > maxBodyBytes_) return bad(413);
    if (framing_ == Framing::length && raw_ == wanted) stage_ = Stage::done;
  }
  return stage_;
}

}  // namespace merlinbridge::http
