#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace merlinbridge::net {

/// A response that the gateway generates itself, without a host.
struct TextResponse {
  int status = 0;
  std::string_view text;  ///< Without a line break.
};

/// Health endpoints. A request with a Req-Id is forwarded like any other, even to one of these paths.
inline constexpr std::string_view kReadyPath = "/health/ready";
inline constexpr std::string_view kLivePath = "/health/live";
inline constexpr TextResponse kReady{200, "ready"};
inline constexpr TextResponse kNotReady{503, "not ready"};
inline constexpr TextResponse kLive{200, "live"};

/// Responses to requests that cannot be forwarded. The status for bad framing depends on the error.
inline constexpr std::string_view kBadFramingText = "bad framing";
inline constexpr TextResponse kMethodNotAllowed{405, "not a request's method"};
inline constexpr TextResponse kDuplicateRequest{409, "a request with this Req-Id was received before"};
inline constexpr TextResponse kRequestIncomplete{408, "the rest of the request did not come"};
inline constexpr TextResponse kTooMuchPipelined{429, "too many requests sent at once"};
inline constexpr TextResponse kTooManyRecentRequests{429, "too many requests in a short time"};
/// No host has been asked, so another try is harmless.
inline constexpr TextResponse kDeadlineOver{503, "the request's time was over before its turn came"};
inline constexpr TextResponse kOutOfMemory{503, "no memory for the request"};
inline constexpr TextResponse kShuttingDown{503, "shutting down"};
inline constexpr int kStatusBadRequest = 400;

/// The status of a request that the customer's limits reject, and why.
inline constexpr int kStatusTooManyRequests = 429;
inline constexpr std::string_view kOverLimitsReason = "over the customer's limits";

/// The Content-Type header line of a TextResponse.
inline constexpr std::string_view kTextPlainField = "Content-Type: text/plain\r\n";
/// The interim response that a client waits for before sending the body, after `Expect: 100-continue`.
inline constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

/// What happens to a client's connection after a response.
enum class Persistence {
  keepAlive,  ///< It stays open for the next request.
  close       ///< It closes, and the response carries `Connection: close`.
};

/// The head of a response, formatted into an internal buffer of fixed size.
class ResponseHead {
 public:
  /// `fields` are complete header lines, each with its CRLF. A head that exceeds the buffer is truncated.
  ResponseHead(int status, std::size_t bodyBytes, std::string_view fields, Persistence);

  std::string_view text() const { return {bytes_.data(), size_}; }

 private:
  static constexpr std::size_t kMaxBytes = 256;

  std::array<char, kMaxBytes> bytes_{};
  std::size_t size_ = 0;
};

}  // namespace merlinbridge::net
