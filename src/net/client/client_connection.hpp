#pragma once

#include "gateway_core/gateway_core.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"

namespace merlinbridge::net {

class ClientListener;

/// A client's connection: one request at a time, whose message stays in the buffer until it has its answer.
class ClientConnection final : public Connection {
 public:
  ClientConnection(EventLoop&, Socket, ClientListener&);

  /// The message that is in hand. Good until the next read: what the client pipelines may move the buffer.
  const http::Message& message() {
    message_.movedTo(buffer_.data());
    return message_;
  }
  /// Answers the request in hand. `fields`: whole header lines, each with its CRLF.
  void answer(int status, std::string_view fields, std::string_view body);
  /// Between requests, all answers written.
  bool idle() const { return state_ == State::receiving && !message_.begun() && allWritten(); }
  TimePoint idleSince() const { return waitsSince_; }
  /// A request has begun to come and is not whole.
  bool receivesRequest() const { return state_ == State::receiving && message_.begun() && allWritten(); }
  /// From when on such a request may be given up for the sake of a client that waits for a place.
  TimePoint mayBeGivenUpAt() const;
  /// Answers 408 to such a request and closes; the client has so long to close as well.
  void giveUpRequest(Duration lingerFor);
  bool lingering() const { return state_ == State::lingering; }
  std::size_t bufferedBytes() const { return buffer_.size(); }
  /// Lingering close: nothing more is sent; what still comes is read for nobody until the client closes, or
  /// for so long.
  void lingeringClose(Duration timeout);

 private:
  enum class State {
    receiving,       ///< No request in hand, or one that has not come whole.
    deciding,        ///< The core has been handed a request and has not returned.
    awaitingAnswer,  ///< The core has the request.
    lingering        ///< Our side is closed.
  };

  void onData() override;
  void onClosed() override;
  void onAllWritten() override;
  bool mustPause() const override;
  bool expectsMore() const override { return state_ == State::receiving && message_.begun(); }
  std::size_t readAheadLimit() const override;
  TimePoint waitDeadline() const override;
  TimePoint requestDeadline() const;
  void onTimeout() override;

  void enter(State next);
  void parseRequests();
  void parseLater();
  void handleRequest();
  void handOver();
  void answerText(int status, std::string_view text);
  bool isLastAnswer(bool messageComplete) const;
  void scheduleEndCheck();
  void checkEnd();
  void logUnanswered();
  void logUnwritten();

  ClientListener& listener_;
  http::Message message_{http::Message::Kind::request};
  State state_ = State::receiving;
  RequestId requestId_{};          ///< While awaitingAnswer.
  bool parsing_ = false;           ///< parseRequests() is on the stack.
  bool closeAfterAnswer_ = false;  ///< The next answer is the connection's last.
  bool endCheckScheduled_ = false;
  std::string answeredRequest_;        ///< Req-Id of the last answer, for the log.
  bool timedOut_ = false;              ///< The present close is by a time-out of ours.
  std::size_t pipelineAllowance_ = 0;  ///< Bytes that may be buffered beyond the usual.
  bool firstRequest_ = true;           ///< No request on this connection has been answered yet.
  const TimePoint acceptedAt_;
  TimePoint waitsSince_;     ///< The present wait began.
  TimePoint lingerUntil_{};  ///< While lingering.
};

}  // namespace merlinbridge::net
