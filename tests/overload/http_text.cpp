#include "http_text.hpp"

#include <charconv>

namespace merlinbridge::testing {
namespace {

constexpr std::string_view kEndOfHead = "\r\n\r\n";

}  // namespace

std::string fieldOf(std::string_view head, std::string_view name) {
  const std::string start = "\r\n" + std::string(name) + ": ";
  const std::size_t found = head.find(start);
  if (found == std::string_view::npos) return {};
  const std::size_t begin = found + start.size();
  return std::string(head.substr(begin, head.find('\r', begin) - begin));
}

std::optional<std::size_t> completeMessageSize(std::string_view bytes) {
  const std::size_t headEnd = bytes.find(kEndOfHead);
  if (headEnd == std::string_view::npos) return std::nullopt;
  const std::string length = fieldOf(bytes.substr(0, headEnd), "Content-Length");
  std::size_t bodyBytes = 0;
  std::from_chars(length.data(), length.data() + length.size(), bodyBytes);
  const std::size_t size = headEnd + kEndOfHead.size() + bodyBytes;
  if (bytes.size() < size) return std::nullopt;
  return size;
}

}  // namespace merlinbridge::testing
