#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

/// \file
/// Inputs for the gateway under test: HTTP messages, endpoint lists and gateway configurations.
namespace merlinbridge::testing {

/// A client's request of `method` on the plan "free", customer 7, with a Req-Id that no other one has. It is
/// a GET if the method is "look", which is idempotent, and a POST with `body` otherwise. `extraFields` are
/// complete header lines, each ended by CRLF; `deadlineMs` is the client's deadline in milliseconds.
std::string clientRequest(const std::string& method, const std::string& body = "",
                          const std::string& extraFields = "", int deadlineMs = 900);

/// Returns `request` with its Req-Id replaced by `id`, filled up with zeros to 16 digits.
std::string withRequestId(std::string request, const std::string& id);

/// A request of `customer` (0 to 9) on the plan "metered", whose quota the counter service keeps.
std::string meteredRequest(int customer);

/// A host's or counter's response 200 with a Content-Length. `extraFields` as for clientRequest().
std::string okResponse(const std::string& body, const std::string& extraFields = "");

/// The end of a message's head.
inline constexpr const char* kHeadEnd = "\r\n\r\n";
/// Requests that the gateway answers without forwarding them.
inline constexpr const char* kLiveProbe = "GET /health/live HTTP/1.1\r\n\r\n";
inline constexpr const char* kReadyProbe = "GET /health/ready HTTP/1.1\r\n\r\n";
/// A request whose head is not complete.
inline constexpr const char* kIncompleteRequest = "GET / HTTP/1.1\r\nN";
/// Heads of responses without a length: the body ends with the connection, or with its last chunk.
inline constexpr const char* kOkHead = "HTTP/1.1 200 OK\r\n\r\n";
inline constexpr const char* kChunkedOkHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// A response that leaves open whether the host executed the request.
inline constexpr const char* kUnavailableResponse = "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n";
/// A response that states that the host did not execute the request.
inline constexpr const char* kDeclinedResponse =
    "HTTP/1.1 503 x\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

/// One chunk of a chunked body with its size line.
std::string chunkOf(const std::string& bytes);

/// One host of an endpoint list: 127.0.0.1:`port`, named `name`, with the lifecycle `state` ("in_service",
/// "terminating").
std::string endpointJson(std::uint16_t port, const std::string& name, const std::string& state);

/// An endpoint list. `endpoints` is a list of endpointJson() entries separated by commas; `extraFields` are
/// further fields, each ended by a comma.
std::string endpointListJson(int generation, const std::string& endpoints,
                             const std::string& extraFields = "");

/// A complete gateway configuration. `endpoints` is a list of endpointJson() entries separated by commas; the
/// list has generation 41. `sockets` is the limit of file descriptors.
std::string gatewayConfigText(const std::string& listen, const std::string& discovery,
                              const std::string& counter, const std::string& endpoints, std::size_t sockets);

/// Returns `text` with the first `search` replaced by `replacement`; unchanged if `search` is empty. `text`
/// must contain `search`.
std::string replaceOnce(std::string text, const std::string& search, const std::string& replacement);

}  // namespace merlinbridge::testing
