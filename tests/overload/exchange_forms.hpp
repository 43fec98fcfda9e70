#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "background_hosts.hpp"

/// \file
/// The forms of requests that clients may send and of responses that hosts may send, whole and spoilt.
namespace merlinbridge::testing {

/// When a client sends the body of its request.
enum class BodyTiming {
  withHead,       ///< At once.
  afterInterim,   ///< When it has read an interim response; the head asks for one.
  partOfBodyLast  ///< The head with a part of the body, the rest a moment later.
};

/// One form of a request.
struct RequestForm {
  std::string name;
  std::string head;     ///< With its end.
  std::string body;     ///< As it is written, with its framing.
  std::string content;  ///< The body without framing, as a host must get it.
  std::string requestId{};
  BodyTiming timing = BodyTiming::withHead;
  bool isSound = true;          ///< If not, the gateway answers with 4xx and forwards nothing.
  bool expectsInterim = false;  ///< Has a body and asks for an interim response, whether it waits or not.
};

inline constexpr unsigned kRequestForms = 24;
/// The request of that form (below kRequestForms) with a fresh id. `hostForm` is passed on to the host.
RequestForm makeRequest(unsigned form, unsigned hostForm);

inline constexpr unsigned kHostForms = 24;
/// The forms below this one are whole; a client must get the body unchanged.
inline constexpr unsigned kWholeHostForms = 12;
/// The response of a host to a request made by makeRequest(). Its content is the request's id and content.
HostResponse makeResponse(const std::string& head, const std::string& body);
/// The content of a whole response to the request.
std::string contentFor(const std::string& requestId, const std::string& content);

}  // namespace merlinbridge::testing
