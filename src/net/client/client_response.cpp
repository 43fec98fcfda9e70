#include "net/client/client_response.hpp"

#include <fmt/compile.h>

#include <algorithm>

namespace merlinbridge::net {
namespace {

constexpr std::string_view kConnectionCloseField = "Connection: close\r\n";

// Covers the status codes that the gateway sends.
std::string_view reasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 409:
      return "Conflict";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Bad Gateway";
  }
}

}  // namespace

ResponseHead::ResponseHead(int status, std::size_t bodyBytes, std::string_view fields,
                           Persistence persistence) {
  const std::string_view closeField =
      persistence == Persistence::close ? kConnectionCloseField : std::string_view();
  const auto end = fmt::format_to_n(bytes_.data(), bytes_.size(),
                                    FMT_COMPILE("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n{}{}\r\n"), status,
                                    reasonPhrase(status), bodyBytes, fields, closeField);
  size_ = std::min(end.size, bytes_.size());
}

}  // namespace merlinbridge::net
