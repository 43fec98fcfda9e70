#pragma once

#include <cstddef>
#include <string_view>

#include "config/json_stream_splitter.hpp"
#include "http/chunked_decoder.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"
#include "net/discovery/discovery_response_owner.hpp"

namespace merlinbridge::net {

/// One watch: a request to discovery whose response does not end. Its body is a JSON object for each change,
/// and an empty line as a heartbeat. The watch ends as failed when no byte comes for a heartbeat interval and
/// a connect timeout, or when an object takes longer than that. The event loop owns the connection.
class WatchConnection final : public Connection {
 public:
  /// `message`: the whole HTTP request, written once the connection is up.
  WatchConnection(EventLoop&, DiscoveryResponseOwner&, Duration connectTimeout, std::string_view message);

 private:
  enum class State { readingHead, readingBody };

  void onConnected() override { lastHeardAt_ = loop_.now(); }
  void onData() override;
  void onClosed() override;
  bool expectsMore() const override;
  TimePoint waitDeadline() const override;
  void onTimeout() override { onClosed(); }

  TimePoint waitStartedAt() const;
  bool readHead();
  http::ChunkedDecoder::Result decodeBody();
  void readEndpointLists();
  void trackObject(std::size_t splitBefore, bool begunBefore, config::JsonStreamSplitter::Result end);
  void dropSplit();
  std::size_t splitBytes() const { return splitter_.insideObject() ? splitter_.objectStart() : splitter_.position(); }

  DiscoveryResponseOwner& owner_;
  const Duration connectTimeout_;
  State state_ = State::readingHead;
  http::Message head_{http::Message::Kind::response, http::Message::Body::streamed};
  http::ChunkedDecoder chunks_;
  std::size_t decodedBytes_ = 0;  ///< Of the body, at the front of the buffer.
  config::JsonStreamSplitter splitter_;
  TimePoint lastHeardAt_;      ///< Last byte received; before, when the connection was made or came up.
  TimePoint objectBegunAt_{};  ///< While an object is incomplete.
};

}  // namespace merlinbridge::net
