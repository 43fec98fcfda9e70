#include "net/client/request_check.hpp"

namespace merlinbridge::net {
namespace {

TextResponse refusalOf(core::RequestError error) {
  const bool isMethod = error == core::RequestError::httpMethodInvalid;
  return {isMethod ? kMethodNotAllowed.status : kStatusBadRequest, core::textOf(error)};
}

}  // namespace

RequestCheck checkRequest(const http::Message& message, core::GatewayCore& core, TimePoint now,
                          TimePoint arrivedAt) {
  // Responses to these methods are framed differently from the responses of hosts.
  if (message.method() == "HEAD" || message.method() == "CONNECT") return {{}, kMethodNotAllowed};
  RequestCheck check{core::parseRequest(message, core.names(), core.settings(), arrivedAt), std::nullopt};
  if (check.parsed.error)
    check.refusal = refusalOf(*check.parsed.error);
  else if (core.isDuplicate(now, check.parsed.clientRequestId))
    check.refusal = kDuplicateRequest;
  else if (core.isIdTableFull(now))
    check.refusal = kTooManyRecentRequests;
  else if (check.parsed.request.deadline <= now)
    check.refusal = kDeadlineOver;
  return check;
}

}  // namespace merlinbridge::net
