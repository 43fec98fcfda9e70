#include "net/upstream/upstream_outcome.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "config/policy_settings_reader.hpp"

namespace merlinbridge::net {
namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusUnavailable = 503;
constexpr int kStatusGatewayTimeout = 504;

// The number at the start of `text`; 0 if there is none. std::from_chars also accepts "nan" and "inf", which
// no field allows.
double leadingNumber(std::string_view text) {
  double value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return std::isfinite(value) ? value : 0;
}

// Reads "name=value,name=value,..." into `load`. Words without "=" and unknown names are ignored. If a name
// occurs twice, the later value is used.
void readLoadReport(std::string_view list, LoadReport& load) {
  while (!list.empty()) {
    const std::size_t comma = std::min(list.find(','), list.size());
    const std::string_view word = list.substr(0, comma);
    const std::size_t equals = word.find('=');
    if (equals != std::string_view::npos)
      config::setLoadField(load, word.substr(0, equals), leadingNumber(word.substr(equals + 1)));
    list.remove_prefix(std::min(list.size(), comma + 1));
  }
}

}  // namespace

Outcome outcomeOf(const http::Message& message) {
  const int status = message.status();
  if (status == kStatusOk) return Outcome::ok;
  const bool mayBeDeclined = status == kStatusUnavailable || status == kStatusGatewayTimeout;
  return mayBeDeclined && message.get("Srv-Declined") == "1" ? Outcome::rejected : Outcome::error;
}

core::UpstreamResponse readUpstreamResponse(const http::Message& message) {
  core::UpstreamResponse response{message.body(), {}, 0, {}};
  for (std::size_t index = 0; index < message.fieldCount(); ++index) {
    const auto [name, value] = message.field(index);
    if (http::equalsIgnoringCase(name, "Content-Type")) response.contentType = value;
    if (http::equalsIgnoringCase(name, "Billed-Units")) response.trueUnits = leadingNumber(value);
    if (http::equalsIgnoringCase(name, "Srv-Load")) readLoadReport(value, response.load);
  }
  return response;
}

std::string_view nameOf(Outcome outcome) {
  switch (outcome) {
    case Outcome::ok:
      return "ok";
    case Outcome::error:
      return "error";
    case Outcome::rejected:
      return "rejected";
    case Outcome::noResponse:
      return "no answer";
    case Outcome::noConnection:
      return "no connection";
    case Outcome::lost:
      return "lost";
    case Outcome::cancelled:
      return "cancelled";
    case Outcome::notSent:
      return "not sent";
  }
  return "unknown";
}

}  // namespace merlinbridge::net
