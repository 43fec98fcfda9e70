#include "net/forwarded_request.hpp"

#include <fmt/compile.h>

#include <algorithm>
#include <array>
#include <iterator>

#include "net/header_fields.hpp"
#include "net/upstream/upstream_pool.hpp"

namespace merlinbridge::net {
namespace {

// Fields that are not forwarded: hop-by-hop fields, and those that the gateway sets itself.
constexpr std::array kFieldsNotForwarded{kHostField,
                                         kConnectionField,
                                         kContentLengthField,
                                         kRequestDeadlineField,
                                         std::string_view("Transfer-Encoding"),
                                         std::string_view("Keep-Alive"),
                                         std::string_view("TE"),
                                         std::string_view("Trailer"),
                                         std::string_view("Upgrade"),
                                         std::string_view("Expect"),
                                         std::string_view("Proxy-Connection")};

// `connectionField` is the value of the request's Connection field, which lists additional hop-by-hop fields.
bool isForwarded(std::string_view name, std::string_view connectionField) {
  const auto isSame = [name](std::string_view other) { return http::equalsIgnoringCase(name, other); };
  return std::none_of(kFieldsNotForwarded.begin(), kFieldsNotForwarded.end(), isSame) &&
         !http::listContains(connectionField, name);
}

}  // namespace

void writeForwardedRequest(const http::Message& request, std::string_view hostAddress, Duration timeLeft,
                           std::string& message) {
  message.clear();
  fmt::format_to(std::back_inserter(message), FMT_COMPILE("{} {} HTTP/1.1\r\nHost: {}{}{}\r\n"),
                 request.method(), request.target(), hostAddress, kDeadlineLine, millisecondsLeft(timeLeft));
  const std::string_view connectionField = request.get(kConnectionField);
  for (std::size_t index = 0; index < request.fieldCount(); ++index) {
    const auto [name, value] = request.field(index);
    if (isForwarded(name, connectionField)) message.append(name).append(": ").append(value).append("\r\n");
  }
  if (!request.body().empty() || request.method() != "GET")
    fmt::format_to(std::back_inserter(message), FMT_COMPILE("Content-Length: {}\r\n"), request.body().size());
  message.append("\r\n").append(request.body());
}

}  // namespace merlinbridge::net
