#pragma once

#include <cstddef>

namespace merlinbridge::http {

/// The largest body of a request or a response, in bytes after decoding. Specified by the protocol between
/// clients, gateway and hosts.
inline constexpr std::size_t kMaxBodyBytes = 64 * 1024;
/// The largest head of a message, in bytes from the start of the buffer to the empty line that ends the head.
/// Also the largest chunk extension and the largest trailer section, in bytes. A limit of the gateway: it
/// bounds the read buffers.
inline constexpr std::size_t kMaxHeadBytes = 16 * 1024;
/// The largest number of header fields in a message. A limit of the gateway: it bounds the work
/// for one message.
inline constexpr std::size_t kMaxFields = 96;
/// The largest encoded body, as a multiple of the largest decoded one. A limit of the gateway: a
/// peer could otherwise send an unlimited amount of chunk framing around a short body.
inline constexpr std::size_t kMaxEncodedBodyFactor = 2;

}  // namespace merlinbridge::http
