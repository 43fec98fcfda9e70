#pragma once

#include <cstddef>
#include <string_view>

#include "config/json_stream_splitter.hpp"
#include "http/chunked_decoder.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"
#include "net/discovery/discovery_response_handler.hpp"

namespace merlinbridge::net {

/// One watch: a request to discovery whose response stays open. The body has a JSON object for each change
/// and an empty line for each heartbeat. The watch ends as `failed` if no byte is received, or an object
/// stays incomplete, for longer than a heartbeat interval plus the connect timeout. The event loop owns the
/// connection.
class WatchConnection final : public Connection {
 public:
  /// `message`: the whole HTTP request, written once the connection is up.
  WatchConnection(EventLoop&, DiscoveryResponseHandler&, Duration connectTimeout, std::string_view message);

 private:
  enum class State { readingHead, readingBody };

  void onConnected() override { lastReceivedAt_ = loop_.now(); }
  void onData() override;
  void onClosed() override;
  bool expectsMore() const override;
  TimePoint waitDeadline() const override;
  void onTimeout() override { onClosed(); }

  TimePoint waitStartedAt() const;
  bool readHead();
  http::ChunkedDecoder::Result decodeBody();
  void readEndpointLists();
  void trackObjectProgress(std::size_t scannedBytesBefore, bool wasInObject,
                           config::JsonStreamSplitter::Result end);
  void dropCompleteBytes();
  std::size_t completeBytes() const { return splitter_.insideObject() ? splitter_.objectStart() : splitter_.position(); }

  DiscoveryResponseHandler& handler_;
  const Duration connectTimeout_;
  State state_ = State::readingHead;
  http::Message head_{http::Message::Kind::response, http::Message::Body::streamed};
  http::ChunkedDecoder chunkedDecoder_;
  std::size_t decodedBytes_ = 0;  ///< Bytes of the decoded body at the front of the buffer.
  config::JsonStreamSplitter splitter_;
  TimePoint lastReceivedAt_;  ///< When the last byte was received; before, when the connection was created or
                              ///< came up.
  TimePoint objectStartedAt_{};  ///< Valid while an object is incomplete.
};

}  // namespace merlinbridge::net
