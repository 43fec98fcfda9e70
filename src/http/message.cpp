#include "http/message.hpp"

#include <algorithm>
#include <charconv>
#include <cstring>

#include "http/status.hpp"

namespace merlinbridge::http {
namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr std::string_view kHeadTerminator = "\r\n\r\n";
constexpr std::size_t kStatusDigits = 3;
constexpr int kDecimalBase = 10;
constexpr int kMinStatus = 100;
constexpr int kStatusesPerClass = 100;
constexpr int kInterimClass = 1;

constexpr std::string_view kContentLengthField = "Content-Length";
constexpr std::string_view kTransferEncodingField = "Transfer-Encoding";
constexpr std::string_view kConnectionField = "Connection";
constexpr std::string_view kExpectField = "Expect";

constexpr bool hasNoBody(int status) {
  return status == kNoContent || status == kNotModified;
}

}  // namespace

// ---- Lifetime of a message ----

void Message::clear() {
  data_ = nullptr;
  stage_ = Stage::head;
  errorStatus_ = 0;
  status_ = 0;
  version_ = Version::http11;
  keepsAlive_ = true;
  expectsContinue_ = false;
  start_ = 0;
  headSeen_ = 0;
  headEnd_ = 0;
  decodedEnd_ = 0;
  consumed_ = 0;
  contentLength_ = 0;
  framing_ = Framing::none;
  method_ = {};
  target_ = {};
  fields_.clear();
  chunks_ = {};
}

Message::Stage Message::advance(char* data, std::size_t size) {
  data_ = data;
  if (stage_ == Stage::head && !readHead(size)) return stage_;
  if (stage_ == Stage::body) readBody(size);
  return stage_;
}

Message::Stage Message::peerClosed() {
  if (stage_ == Stage::body && framing_ == Framing::untilClose) stage_ = Stage::done;
  return stage_;
}

std::string_view Message::get(std::string_view name) const {
  for (const FieldSpans& field : fields_)
    if (equalsIgnoringCase(view(field.name), name)) return view(field.value);
  return {};
}

Message::Span Message::spanOf(std::string_view part) const {
  return {static_cast<std::uint32_t>(part.data() - data_), static_cast<std::uint32_t>(part.size())};
}

// Makes the message invalid and returns false. The functions below return false if the message is invalid or
// its head is incomplete.
bool Message::fail(int errorStatus) {
  errorStatus_ = errorStatus;
  keepsAlive_ = false;  // the start of the next message is unknown
  stage_ = Stage::invalid;
  return false;
}

// ---- Head ----

bool Message::readHead(std::size_t size) {
  while (true) {
    if (!findHeadEnd(size) || !readHeadLines()) return false;
    if (!isInterimResponse()) return readFraming();
    skipInterimResponse();
  }
}

bool Message::findHeadEnd(std::size_t size) {
  const std::string_view bytes(data_, size);
  // RFC 9112, section 2.2: empty lines before a request are skipped.
  if (kind_ == Kind::request)
    while (bytes.substr(start_).starts_with(kLineEnd)) start_ += kLineEnd.size();
  // Part of the terminator may have arrived before this call.
  const std::size_t overlap = kHeadTerminator.size() - 1;
  const std::size_t searchFrom = std::max(start_, headSeen_ > overlap ? headSeen_ - overlap : 0);
  const std::size_t terminator = bytes.find(kHeadTerminator, searchFrom);
  headSeen_ = size;
  if (std::min(terminator, size) > kMaxHeadBytes) return fail(kHeaderFieldsTooLarge);
  if (terminator == std::string_view::npos) return false;
  headEnd_ = terminator + kHeadTerminator.size();
  return true;
}

bool Message::readHeadLines() {
  const std::size_t linesEnd = headEnd_ - kLineEnd.size();
  std::size_t lineStart = start_;
  while (lineStart < linesEnd) {
    const void* const lineEnd = std::memchr(data_ + lineStart, '\r', linesEnd - lineStart);
    const std::string_view line(data_ + lineStart, static_cast<const char*>(lineEnd));
    const std::size_t lineEndAt = lineStart + line.size();
    if (data_[lineEndAt + 1] != '\n') return fail(kBadRequest);
    if (fields_.size() >= kMaxFields) return fail(kHeaderFieldsTooLarge);
    if (!(lineStart == start_ ? readStartLine(line) : readField(line))) return fail(kBadRequest);
    lineStart = lineEndAt + kLineEnd.size();
  }
  return true;
}

bool Message::readStartLine(std::string_view line) {
  return kind_ == Kind::response ? readStatusLine(line) : readRequestLine(line);
}

bool Message::readStatusLine(std::string_view line) {
  const auto gap = line.find(' ');
  if (gap == std::string_view::npos || !readVersion(line.substr(0, gap))) return false;
  const auto code = line.substr(gap + 1, kStatusDigits);
  if (code.size() != kStatusDigits || !isDigits(code)) return false;
  const auto rest = line.substr(gap + 1 + kStatusDigits);
  if (!rest.empty() && rest.front() != ' ') return false;
  for (const char digit : code) status_ = status_ * kDecimalBase + (digit - '0');
  return status_ >= kMinStatus;
}

bool Message::readRequestLine(std::string_view line) {
  const auto firstGap = line.find(' ');
  if (firstGap == std::string_view::npos) return false;
  const auto secondGap = line.find(' ', firstGap + 1);
  if (secondGap == std::string_view::npos || secondGap == firstGap + 1) return false;
  if (!readVersion(line.substr(secondGap + 1))) return false;
  const auto method = line.substr(0, firstGap);
  const auto target = line.substr(firstGap + 1, secondGap - firstGap - 1);
  if (!isToken(method) || !isTarget(target)) return false;
  method_ = spanOf(method);
  target_ = spanOf(target);
  return true;
}

bool Message::readVersion(std::string_view text) {
  if (text != "HTTP/1.1" && text != "HTTP/1.0") return false;
  version_ = text == "HTTP/1.0" ? Version::http10 : Version::http11;
  return true;
}

bool Message::readField(std::string_view line) {
  const auto colon = line.find(':');
  if (colon == std::string_view::npos) return false;
  const auto name = line.substr(0, colon);
  const auto value = trimmed(line.substr(colon + 1));
  if (!isToken(name) || !isFieldValue(value)) return false;
  fields_.push_back({spanOf(name), spanOf(value)});
  return true;
}

bool Message::isInterimResponse() const {
  return kind_ == Kind::response && status_ / kStatusesPerClass == kInterimClass &&
         status_ != kSwitchingProtocols;
}

void Message::skipInterimResponse() {
  char* const data = data_;
  const std::size_t skipped = headEnd_;
  clear();
  data_ = data;
  start_ = skipped;
  headSeen_ = skipped;
}

// ---- Framing ----

// Determines where the body ends. Contradictory fields make the message invalid: another HTTP implementation
// on the path might honor the other field.
bool Message::readFraming() {
  FramingFields framing;
  for (std::size_t index = 0; index < fields_.size(); ++index)
    if (!readFramingField(field(index), framing)) return false;
  if (version_ == Version::http10 && !listContains(framing.connection, "keep-alive")) keepsAlive_ = false;
  return chooseFraming(framing) && startBody();
}

bool Message::readFramingField(const Field& field, FramingFields& framing) {
  if (equalsIgnoringCase(field.name, kContentLengthField)) return readContentLength(field.value, framing);
  if (equalsIgnoringCase(field.name, kTransferEncodingField)) {
    if (framing.hasTransferCoding || !equalsIgnoringCase(field.value, "chunked")) return fail(kBadRequest);
    framing.hasTransferCoding = true;
  } else if (equalsIgnoringCase(field.name, kConnectionField)) {
    if (listContains(field.value, "close")) keepsAlive_ = false;
    framing.connection = field.value;
  } else if (equalsIgnoringCase(field.name, kExpectField) &&
             equalsIgnoringCase(field.value, "100-continue")) {
    expectsContinue_ = true;
  }
  return true;
}

bool Message::readContentLength(std::string_view value, FramingFields& framing) {
  std::uint64_t length = 0;
  if (!isDigits(value)) return fail(kBadRequest);
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length);
  if (error != std::errc{}) return fail(kContentTooLarge);
  if (framing.contentLength && length != *framing.contentLength) return fail(kBadRequest);
  framing.contentLength = length;
  return true;
}

bool Message::chooseFraming(const FramingFields& framing) {
  if (framing.hasTransferCoding && (framing.contentLength || version_ == Version::http10))
    return fail(kBadRequest);
  contentLength_ = framing.contentLength.value_or(0);
  framing_ = framingOf(framing);
  if (framing_ == Framing::untilClose) keepsAlive_ = false;
  return true;
}

Message::Framing Message::framingOf(const FramingFields& framing) const {
  if (kind_ == Kind::response && hasNoBody(status_)) return Framing::none;
  if (framing.hasTransferCoding) return Framing::chunked;
  if (framing.contentLength) return Framing::length;
  return kind_ == Kind::response ? Framing::untilClose : Framing::none;
}

// ---- Body ----

bool Message::startBody() {
  decodedEnd_ = headEnd_;
  consumed_ = headEnd_;
  stage_ = bodyMode_ == Body::streamed ? Stage::done : Stage::body;
  if (stage_ == Stage::body && framing_ == Framing::length && contentLength_ > maxBodyBytes_)
    return fail(kContentTooLarge);
  return true;
}

bool Message::readBody(std::size_t size) {
  switch (framing_) {
    case Framing::none:
      stage_ = Stage::done;
      return true;
    case Framing::chunked:
      return readChunkedBody(size);
    case Framing::length:
    case Framing::untilClose:
      break;
  }
  return readPlainBody(size);
}

bool Message::readChunkedBody(std::size_t size) {
  const auto end = chunks_.decode(data_, decodedEnd_, consumed_, size);
  if (end == ChunkedDecoder::Result::invalid) return fail(kBadRequest);
  const bool isTooLarge = decodedEnd_ - headEnd_ > maxBodyBytes_;
  const bool isPadded = consumed_ - headEnd_ > kMaxEncodedBodyFactor * maxBodyBytes_;
  if (isTooLarge || isPadded) return fail(kContentTooLarge);
  if (end == ChunkedDecoder::Result::done) stage_ = Stage::done;
  return true;
}

bool Message::readPlainBody(std::size_t size) {
  const bool hasLength = framing_ == Framing::length;
  const std::size_t bodyEnd = hasLength ? headEnd_ + contentLength_ : size;
  decodedEnd_ = std::min(size, bodyEnd);
  consumed_ = decodedEnd_;
  if (decodedEnd_ - headEnd_ > maxBodyBytes_) return fail(kContentTooLarge);
  if (hasLength && consumed_ == bodyEnd) stage_ = Stage::done;
  return true;
}

}  // namespace merlinbridge::http
