#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace merlinbridge::net {

/// A response of the gateway itself: no host has a part in it.
struct TextResponse {
  int status = 0;
  std::string_view text;
};

/// Health endpoints. A request to one of them carries no Req-Id; with one, it is forwarded as any other.
inline constexpr std::string_view kReadyPath = "/health/ready";
inline constexpr std::string_view kLivePath = "/health/live";
inline constexpr TextResponse kReady{200, "ready\n"};
inline constexpr TextResponse kNotReady{503, "not ready\n"};
inline constexpr TextResponse kLive{200, "live\n"};

/// Responses to what cannot be forwarded. The status for bad framing depends on what is bad.
inline constexpr std::string_view kBadFramingText = "bad framing\n";
inline constexpr TextResponse kMethodNotAllowed{405, "not a request's method\n"};
inline constexpr TextResponse kRequestIncomplete{408, "the rest of the request did not come\n"};
inline constexpr int kStatusBadRequest = 400;

/// The header line of a TextResponse.
inline constexpr std::string_view kTextPlainField = "Content-Type: text/plain\r\n";
/// The interim response that a client with `Expect: 100-continue` waits for before it sends the body.
inline constexpr std::string_view kContinueResponse = "HTTP/1.1 100 Continue\r\n\r\n";

/// What happens to a client's connection after a response.
enum class Persistence {
  keepAlive,  ///< The next request may come on it.
  close       ///< The response is the last one, and says so.
};

/// The head of a response, written into a buffer of its own of bounded size.
class ResponseHead {
 public:
  /// `fields`: whole header lines, each with its CRLF. A head that is too long for the buffer is cut off.
  ResponseHead(int status, std::size_t bodyBytes, std::string_view fields, Persistence);

  std::string_view text() const { return {bytes_.data(), size_}; }

 private:
  static constexpr std::size_t kMaxBytes = 256;

  std::array<char, kMaxBytes> bytes_{};
  std::size_t size_ = 0;
};

}  // namespace merlinbridge::net
