#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "gateway_core/gateway_core.hpp"
#include "http/message.hpp"
#include "net/client/client_connection_log.hpp"
#include "net/client/client_deadlines.hpp"
#include "net/client/client_response.hpp"
#include "net/connection.hpp"

namespace merlinbridge::net {

/// What a client's connection asks of its listener, and reports to it. All functions run on the event loop's
/// strand. The implementation outlives its connections.
class ClientConnectionOwner {
 public:
  virtual ~ClientConnectionOwner() = default;
  /// Where requests go. GatewayCore may answer a request before requestArrived() returns.
  virtual core::GatewayCore& core() = 0;
  /// What `/health/ready` answers.
  virtual bool isReady() const = 0;
  /// Whether a graceful shutdown has begun.
  virtual bool isDraining() const = 0;
  /// While draining: from this time on, each answer is its connection's last.
  virtual TimePoint keepAliveEndsAt() const = 0;
  /// Bytes in the buffers of all clients' connections.
  virtual std::size_t bufferedBytes() = 0;
  /// The connection has no request in hand and may be evicted. Must not close a connection before returning.
  virtual void connectionIdle() = 0;
  /// The connection is about to close, and no longer counts.
  virtual void connectionClosed(SlotRef) = 0;
};

/// One client's connection. It takes one request at a time, whose message stays in the buffer until it has
/// its answer; what the client pipelines behind it waits in the buffer or the socket. The event loop owns it.
class ClientConnection final : public Connection {
 public:
  ClientConnection(EventLoop&, Socket, ClientConnectionOwner&, const ClientTimeouts&);

  /// The message in hand. Valid until the next read, which may move the buffer.
  const http::Message& message() {
    message_.bufferMoved(buffer_.data());
    return message_;
  }
  /// Answers the request in hand. `fields`: whole header lines, each with its CRLF. Has no effect on a closed
  /// connection.
  void answer(int status, std::string_view fields, std::string_view body);
  /// Whether the connection is between two requests, with all answers written.
  bool isIdle() const { return state_ == State::receiving && !message_.hasBegun() && allWritten(); }
  /// When isIdle(): since when.
  TimePoint idleSince() const { return deadlines_.waitStartedAt(); }
  /// Whether a part of a request has come, and not all of it.
  bool hasIncompleteRequest() const {
    return state_ == State::receiving && message_.hasBegun() && allWritten();
  }
  /// When hasIncompleteRequest(): from when on timeOutRequest() may be called to make room for another
  /// client.
  TimePoint evictableAt() const { return deadlines_.evictableAt(); }
  /// Answers 408 to an incomplete request and closes; the client has `closeTimeout` to close as well.
  void timeOutRequest(Duration closeTimeout);
  bool isLingering() const { return state_ == State::lingering; }
  std::size_t bufferedBytes() const { return buffer_.size(); }
  /// Starts a lingering close: ends the gateway's stream, then reads and drops what still comes until the
  /// client closes, or for `timeout`.
  void lingeringClose(Duration timeout);

 private:
  enum class State {
    receiving,         ///< No request in hand, or an incomplete one.
    submitting,        ///< The core has been handed a request and has not returned.
    awaitingResponse,  ///< The core has the request.
    lingering          ///< The gateway's stream has ended; see lingeringClose().
  };

  void onData() override;
  void onClosed() override;
  void onAllWritten() override;
  void onTimeout() override;
  bool readBufferFull() const override;
  bool expectsMore() const override { return state_ == State::receiving && message_.hasBegun(); }
  std::size_t readAheadLimit() const override;
  TimePoint waitDeadline() const override;

  void enter(State next);
  void parseRequests();
  void parseRequestsLater();
  void answerBadFraming();
  void sendContinueIfExpected();
  void handleRequest();
  bool answerHealthCheck();
  void forwardRequest();
  void answerText(const TextResponse& response);
  Persistence persistenceAfter(bool messageComplete) const;
  bool hasNextRequest(bool messageComplete) const;
  void scheduleDisconnectCheck();
  void checkForDisconnect();
  WriteProgress writeProgress() const;
  ClientConnectionEnd connectionEnd() const;

  ClientConnectionOwner& owner_;
  ClientDeadlines deadlines_;
  http::Message message_{http::Message::Kind::request};
  State state_ = State::receiving;
  RequestId requestId_{};  ///< While awaitingResponse.
  Persistence persistence_ = Persistence::keepAlive;
  ClientConnectionEnd::Cause closeCause_ = ClientConnectionEnd::Cause::peerOrFault;
  bool parsing_ = false;                   ///< parseRequests() is on the stack.
  bool disconnectCheckScheduled_ = false;  ///< checkForDisconnect() will run.
  std::size_t pipelineBufferLimit_ = 0;    ///< Bytes that may be buffered beyond the usual bound.
  std::string answeredRequestId_;          ///< Req-Id of the last answer, for the log.
  TimePoint lingerUntil_{};                ///< While lingering.
};

}  // namespace merlinbridge::net
