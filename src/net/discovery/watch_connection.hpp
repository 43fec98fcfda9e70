#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "config/json_stream_splitter.hpp"
#include "http/chunked_decoder.hpp"
#include "http/message.hpp"
#include "net/discovery/discovery_connection.hpp"

namespace merlinbridge::net {

/// One watch: a request to discovery whose response stays open. The body has a JSON object for each change
/// and an empty line for each heartbeat. The head with the wait for the first heartbeat or object is one
/// part, and each object another. The time that the head has taken is counted for the first object, too.
class WatchConnection final : public DiscoveryConnection {
 public:
  /// `message`: the whole HTTP request, written once the connection is up.
  WatchConnection(EventLoop&, DiscoveryResponseHandler&, Duration connectTimeout, std::string_view message);

  bool isInsideList() const override { return splitter_.insideObject(); }

 private:
  void onConnected() override { progress_.beginPart(loop_.now()); }
  void onData() override;
  void onClosed() override;
  bool expectsMore() const override;
  TimePoint waitDeadline() const override;

  bool readHead();
  http::ChunkedDecoder::Result decodeBody();
  void readEndpointLists();
  void trackProgress(bool wasInsideObject, std::uint64_t tokensBefore);
  void dropCompleteBytes();
  std::size_t completeBytes() const {
    return splitter_.insideObject() ? splitter_.objectStart() : splitter_.position();
  }

  const Duration connectTimeout_;
  http::Message head_{http::Message::Kind::response, http::Message::Body::streamed};
  http::ChunkedDecoder chunkedDecoder_;
  std::size_t decodedBytes_ = 0;  ///< Bytes of the decoded body at the front of the buffer.
  config::JsonStreamSplitter splitter_;
  Duration headDuration_{0};  ///< Until the first heartbeat or object is complete.
};

}  // namespace merlinbridge::net
