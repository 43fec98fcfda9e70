#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "gateway_core/gateway_core.hpp"
#include "http/message.hpp"
#include "net/client/client_connection_log.hpp"
#include "net/client/client_deadlines.hpp"
#include "net/client/client_response.hpp"
#include "net/client/connection_end_log.hpp"
#include "net/client/request_check.hpp"
#include "net/connection.hpp"

namespace merlinbridge::net {

/// Interface of a client's connection to its listener. All functions run on the event loop's strand. The
/// implementation outlives its connections.
class ClientConnectionOwner {
 public:
  virtual ~ClientConnectionOwner() = default;
  /// Handles the requests. GatewayCore may answer a request before requestArrived() returns.
  virtual core::GatewayCore& core() = 0;
  /// Returns true if `/health/ready` is to report ready.
  virtual bool isReady() const = 0;
  /// Returns true once a graceful shutdown has begun.
  virtual bool isDraining() const = 0;
  /// While draining: the time from which every response closes its connection.
  virtual TimePoint keepAliveEndsAt() const = 0;
  /// A request was refused without asking a host; see RefusalLog::record().
  virtual void requestRefused(std::string_view reason, std::string_view requestId) = 0;
  /// A sound request gives the gateway this time for its answer.
  virtual void deadlineStated(Duration) = 0;
  /// The connection has become idle and may be evicted. Must not close a connection before it returns.
  virtual void connectionIdle() = 0;
  /// The connection is about to close and no longer counts towards the limit.
  virtual void connectionClosed(SlotRef, ConnectionEndReason, const ConnectionCounts&) = 0;
};

/// One client's connection. It handles one request at a time, whose message stays in the buffer until it is
/// answered. Requests pipelined after it wait in the buffer or in the socket. Each is handled in a turn of
/// its own, after the events of all other connections, however little work it is. Owned by the event loop.
class ClientConnection final : public Connection {
 public:
  ClientConnection(EventLoop&, Socket, ClientConnectionOwner&, const ClientTimeouts&);

  /// The current request. Valid until the next read, which may reallocate the buffer.
  const http::Message& message() {
    message_.bufferMoved(buffer_.data());
    return message_;
  }
  /// Answers the current request. `fields` are complete header lines, each with its CRLF. Has no effect on a
  /// closed connection.
  void answer(int status, std::string_view fields, std::string_view body);
  /// Answers the current request with 429, and with Retry-After unless that is 0.
  void reject(Duration retryAfter);
  /// Returns true if the connection is between two requests, all responses are written and nothing that has
  /// been read is left: a request that waits for its turn in the buffer is none that may be closed over.
  bool isIdle() const { return state_ == State::receiving && !message_.hasBegun() && buffer_.empty(); }
  /// Since when the connection has been idle. Requires isIdle().
  TimePoint idleSince() const { return deadlines_.waitStartedAt(); }
  /// Returns true if a request has been partly received.
  bool hasIncompleteRequest() const {
    return state_ == State::receiving && message_.hasBegun() && allWritten();
  }
  /// From when timeOutRequest() may be called to admit another client. Requires hasIncompleteRequest().
  TimePoint evictableAt() const { return deadlines_.evictableAt(); }
  /// When bytes were last received from the client; TimePoint{} if none were.
  TimePoint lastReceivedAt() const { return lastReceivedAt_; }
  /// If a request has been received in part, or waits for its turn, refuses it with 503 and starts a
  /// lingering close.
  void refuseIncompleteRequest();
  /// Answers an incomplete request with 408 and starts a lingering close of at most `closeTimeout`.
  void timeOutRequest(Duration closeTimeout);
  bool isLingering() const { return state_ == State::lingering; }
  /// Returns true if the connection lingers and closing it loses nothing: the client's system has all that
  /// was sent, including the end of the stream, and nothing from the client is unread.
  bool hasLingeredEnough() const { return isLingering() && hasNothingToRead() && isAllAcknowledged(); }
  /// Closes a lingering connection without waiting for its client.
  void endLingering() { onClosed(); }
  /// Returns true if the connection waits for its client, in the middle of a request or of a response, and
  /// its buffer is larger than it may have in any case.
  bool holdsReclaimableBuffer() const;
  /// Since when the connection has waited for its client. Requires holdsReclaimableBuffer().
  TimePoint waitingSince() const { return allWritten() ? lastReceivedAt_ : deadlines_.waitStartedAt(); }
  /// Ends an incomplete request with 503 or an incomplete response with a close. Returns the bytes that its
  /// buffer had. Requires holdsReclaimableBuffer().
  std::size_t reclaimBuffer();
  /// What is known of the client; see core::ClientState.
  core::ClientState clientState() const;
  /// Starts a lingering close: shuts down the sending direction, then reads and discards data until the
  /// client closes or `timeout` has passed. `reason` is for the log.
  void lingeringClose(Duration timeout, ConnectionEndReason reason);

 private:
  enum class State {
    receiving,         ///< There is no request, or an incomplete one.
    submitting,        ///< GatewayCore::requestArrived() is on the stack.
    awaitingResponse,  ///< The core is processing the request.
    lingering          ///< Sending has been shut down; see lingeringClose().
  };

  void onData() override;
  void onClosed() override;
  void onAllWritten() override;
  void onTimeout() override;
  bool readBufferFull() const override;
  bool mayGrowBuffer(std::size_t bytes, BufferUse use) override;
  void onBufferRefused() override;
  bool expectsMore() const override { return state_ == State::receiving && message_.hasBegun(); }
  std::size_t readAheadLimit() const override;
  TimePoint waitDeadline() const override;

  void enter(State next);
  void parseRequest();
  void parseRequestLater();
  void parseScheduledRequest();
  void answerBadFraming();
  void handleHead();
  void handleRequest();
  bool answerHealthCheck();
  void forwardRequest();
  std::optional<core::ParsedRequest> checkOrRefuse();
  TimePoint requestArrivedAt() const;
  bool readPipelined();
  bool canSeeClientsEnd();
  bool needsMoreOfMessage() const;
  bool mayHideClientsEnd() const;
  void answerText(const TextResponse& response);
  void refuse(const TextResponse& response);
  Persistence persistenceAfter(bool messageComplete) const;
  void refuseForMemory();
  bool hasMemoryForBody();
  bool hasNextRequest(bool messageComplete) const;
  void scheduleDisconnectCheck();
  void checkForDisconnect();
  WriteProgress writeProgress() const;
  ClientConnectionEnd connectionEnd() const;
  ConnectionEndReason endReason() const;

  ClientConnectionOwner& owner_;
  ClientDeadlines deadlines_;
  http::Message message_{http::Message::Kind::request};
  State state_ = State::receiving;
  RequestId requestId_{};  ///< While awaitingResponse.
  Persistence persistence_ = Persistence::keepAlive;
  ClientConnectionEnd::Cause closeCause_ = ClientConnectionEnd::Cause::peerOrFault;
  bool headHandled_ = false;               ///< handleHead() has run for the current request.
  bool parsing_ = false;                   ///< parseRequest() is on the stack.
  bool parseScheduled_ = false;            ///< parseScheduledRequest() follows in a later turn.
  bool disconnectCheckScheduled_ = false;  ///< checkForDisconnect() is scheduled.
  std::size_t pipelineBufferLimit_ = 0;    ///< Raised limit of readBufferFull(), in bytes.
  bool readAheadRefused_ = false;          ///< No memory to read ahead until the next request is handled.
  TimePoint lastReceivedAt_{};             ///< When bytes were last received.
  /// When a request was last found with unread data behind it.
  std::optional<TimePoint> unreadDataSeenAt_;
  ConnectionCounts counts_;        ///< For the log.
  std::string answeredRequestId_;  ///< Req-Id of the last answered request, for the log.
  TimePoint lingerUntil_{};        ///< While lingering.
  ConnectionEndReason lingerReason_ = ConnectionEndReason::closedAfterResponse;  ///< While lingering.
};

}  // namespace merlinbridge::net
