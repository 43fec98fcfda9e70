#include "net/client/client_connection.hpp"

#include <fmt/compile.h>

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <system_error>
#include <utility>

#include "net/client/client_listener.hpp"

namespace merlinbridge::net {
namespace {

// Who stops in the middle of a request is owed an error or a close within 3 s of connecting; the rest is for
// a process that is held up and for the way to the client.
constexpr Duration kMaxRequestTime = std::chrono::milliseconds(2800);
// No attempt may begin later than that after its client has left; the operators' rule.
constexpr Duration kClientGoneWithin = std::chrono::milliseconds(100);
// Checks in that time for an end that stands behind much that was pipelined.
constexpr int kEndChecks = 3;
// All clients together may have so much buffered that is read only for the sake of their end.
constexpr std::size_t kMaxPipelinedBytes = 32 * (http::kMaxHeadBytes + http::kMaxBodyBytes);
constexpr std::size_t kMaxAnswerHead = 256;
// Of a Req-Id: the rest is cut off in the log.
constexpr std::size_t kMaxLoggedId = 32;

std::string_view phraseOf(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return "Bad Gateway";
  }
}

}  // namespace

ClientConnection::ClientConnection(EventLoop& loop, Socket socket, ClientListener& listener)
    : Connection(loop, std::move(socket)),
      listener_(listener),
      acceptedAt_(loop.now()),
      waitsSince_(loop.now()) {}

// receiving -> deciding -> awaitingAnswer -> receiving, or back to receiving at any answer; lingering is the
// last state.
void ClientConnection::enter(State next) {
  if (state_ != State::lingering) state_ = next;
}

void ClientConnection::onData() {
  if (state_ == State::lingering) return buffer_.drop(buffer_.size());
  if (state_ != State::awaitingAnswer) {
    if (!message_.begun()) waitsSince_ = loop_.now();
    parseRequests();
  }
  if (state_ != State::awaitingAnswer && message_.begun()) updateWaitTimer();
  if (mustPause()) scheduleEndCheck();
}

// A client may pipeline much and go: its end stands behind what is not read, and may even wait at its own end
// for free buffers here. While its request waits, more of it is read, as long as all clients together leave
// free bytes for that; after that, only an end that has come can be seen.
void ClientConnection::scheduleEndCheck() {
  if (std::exchange(endCheckScheduled_, true)) return;
  loop_.deadlines.add(loop_.now() + kClientGoneWithin / kEndChecks, [&loop = loop_, self = ref()](TimePoint) {
    if (auto* const client = loop.find<ClientConnection>(self)) client->checkEnd();
  });
}

void ClientConnection::checkEnd() {
  endCheckScheduled_ = false;
  if (!mustPause()) return;
  if (peerHungUp()) return onClosed();
  const std::size_t buffered = listener_.bufferedBytes();
  const std::size_t free = buffered < kMaxPipelinedBytes ? kMaxPipelinedBytes - buffered : 0;
  if (free > 0) pipelineAllowance_ = std::max(pipelineAllowance_, buffer_.size() + free);
  resumeReading();
  scheduleEndCheck();
}

// Reads requests as long as there are whole ones and none waits for its answer.
void ClientConnection::parseRequests() {
  if (std::exchange(parsing_, true)) return;
  while (isUp() && state_ == State::receiving && allWritten() && !buffer_.empty()) {
    const auto stage = message_.advance(buffer_.data(), received());
    if (stage == http::Message::Stage::bad) {
      closeAfterAnswer_ = true;
      answerText(message_.blame(), "bad framing\n");
    } else if (stage == http::Message::Stage::done) {
      handleRequest();
    } else {
      const bool nothingOfBody = message_.bodyAt() == buffer_.size();
      if (message_.expectsContinue() && stage == http::Message::Stage::body && nothingOfBody)
        send({"HTTP/1.1 100 Continue\r\n\r\n"});
      break;
    }
  }
  parsing_ = false;
}

void ClientConnection::handleRequest() {
  const std::string_view path = message_.target().substr(0, message_.target().find('?'));
  const bool hasId = !message_.get("Req-Id").empty();
  if (!hasId && path == "/health/ready")
    return listener_.ready() ? answerText(200, "ready\n") : answerText(503, "not ready\n");
  if (!hasId && path == "/health/live") return answerText(200, "live\n");
  // Their answers are framed in other ways than a host's answer to a request.
  if (message_.method() == "HEAD" || message_.method() == "CONNECT")
    return answerText(405, "not a request's method\n");
  // It may have been pipelined by a client that has gone since.
  if (mustPause() && peerHungUp()) return onClosed();
  handOver();
}

// The core may answer before it returns; then the state is receiving again.
void ClientConnection::handOver() {
  const TimePoint now = loop_.now();
  core::GatewayCore& core = listener_.core();
  const core::ParsedRequest parsed = core::parseRequest(message_, core.names(), core.settings(), now);
  if (!parsed.fault.empty()) return answerText(400, std::string(parsed.fault) + "\n");
  enter(State::deciding);
  const RequestId requestId = core.requestArrived(now, ref(), parsed.request);
  if (state_ != State::deciding) return;
  requestId_ = requestId;
  enter(State::awaitingAnswer);
}

void ClientConnection::answerText(int status, std::string_view text) {
  answer(status, "Content-Type: text/plain\r\n", text);
}

// While the gateway drains, a connection with a further request on it is kept: that request was taken, and a
// close would drop it.
bool ClientConnection::isLastAnswer(bool messageComplete) const {
  if (closeAfterAnswer_ || !message_.keepsAlive()) return true;
  if (!listener_.draining()) return false;
  const bool more = messageComplete && (buffer_.size() > message_.size() || hasUnread());
  return !more || loop_.now() >= listener_.lastAnswerBy();
}

void ClientConnection::answer(int status, std::string_view fields, std::string_view body) {
  if (!isUp()) return;
  enter(State::receiving);
  const bool complete = message_.stage() == http::Message::Stage::done;
  firstRequest_ = false;
  closeAfterAnswer_ = isLastAnswer(complete);
  const bool headOnly = message().method() == "HEAD";
  std::array<char, kMaxAnswerHead> head{};
  const auto end = fmt::format_to_n(
      head.data(), head.size(), FMT_COMPILE("HTTP/1.1 {} {}\r\nContent-Length: {}\r\n{}{}\r\n"), status,
      phraseOf(status), body.size(), fields, closeAfterAnswer_ ? "Connection: close\r\n" : "");
  answeredRequest_.assign(message_.get("Req-Id").substr(0, kMaxLoggedId));
  buffer_.drop(complete ? message_.size() : buffer_.size());
  pipelineAllowance_ = 0;
  message_.clear();
  waitsSince_ = loop_.now();
  send({{head.data(), std::min(end.size, head.size())}, headOnly ? std::string_view() : body});
  if (loop_.log.enabled(LogEvent::requestAnswered))
    loop_.log(LogEvent::requestAnswered, LogField{"request", answeredRequest_}, LogField{"status", status},
              LogField{"written", std::string_view(allWritten() ? "complete"
                                                   : isUp()     ? "partly"
                                                                : "connection_closed")});
  if (!allWritten()) updateWaitTimer();
}

void ClientConnection::onAllWritten() {
  if (closeAfterAnswer_ && state_ != State::awaitingAnswer && !message_.begun())
    return lingeringClose(listener_.maxDeadline());
  resumeReading();
  if (!parsing_ && !buffer_.empty()) parseLater();
  if (idle()) listener_.connectionIdle();
}

// A pipelined request must not reach the engine while that is still at the answer before.
void ClientConnection::parseLater() {
  asio::post(loop_.strand, [&loop = loop_, self = ref()] {
    if (auto* const client = loop.find<ClientConnection>(self)) client->parseRequests();
    loop.endTurn();
  });
}

// The rest of what the client sends is read, so that no reset overtakes the last answer. It was not taken and
// is never forwarded: the client sees the end and asks elsewhere.
void ClientConnection::lingeringClose(Duration timeout) {
  if (state_ == State::lingering || !isUp()) return;
  enter(State::lingering);
  lingerUntil_ = loop_.now() + timeout;
  buffer_.drop(buffer_.size());
  shutdownSend();
  updateWaitTimer();
  resumeReading();
}

bool ClientConnection::mustPause() const {
  return (state_ == State::awaitingAnswer || parsing_) &&
         buffer_.size() > std::max(message_.size() + http::kMaxHeadBytes, pipelineAllowance_);
}

// The end of a client right behind what it sent is its leaving, also where that would be read too late.
std::size_t ClientConnection::readAheadLimit() const {
  const bool receives = state_ == State::receiving || state_ == State::deciding;
  return receives ? http::kMaxHeadBytes + http::kMaxBodyBytes : 0;
}

TimePoint ClientConnection::waitDeadline() const {
  if (state_ == State::lingering) return lingerUntil_;
  // A request in hand has a deadline of its own.
  if (state_ == State::awaitingAnswer) return loop_.now() + listener_.maxDeadline();
  if (!allWritten()) return waitsSince_ + listener_.maxDeadline();
  return message_.begun() ? requestDeadline() : waitsSince_ + listener_.idleTimeout();
}

// By when the whole of a request must have come: counted from when its first byte came, but for a client that
// has only just connected, from then.
TimePoint ClientConnection::requestDeadline() const {
  const TimePoint sinceAccepted = std::max(acceptedAt_ + kMaxRequestTime, waitsSince_ + kMaxRequestTime / 2);
  return std::min({waitsSince_ + listener_.maxDeadline(), waitsSince_ + kMaxRequestTime,
                   firstRequest_ ? sinceAccepted : TimePoint::max()});
}

TimePoint ClientConnection::mayBeGivenUpAt() const {
  return waitsSince_ + std::min(kMaxRequestTime, listener_.maxDeadline()) / 2;
}

void ClientConnection::giveUpRequest(Duration lingerFor) {
  closeAfterAnswer_ = true;
  answerText(408, "the rest of the request did not come\n");
  if (state_ != State::lingering) return;
  lingerUntil_ = std::min(lingerUntil_, loop_.now() + lingerFor);
  updateWaitTimer();
}

// An idle connection is closed in good order: the client's next request may cross its end.
void ClientConnection::onTimeout() {
  timedOut_ = true;
  if (state_ == State::lingering || !allWritten()) return onClosed();
  if (message_.begun()) return giveUpRequest(listener_.maxDeadline());
  if (nothingReceived()) return lingeringClose(listener_.maxDeadline());
  timedOut_ = false;
  waitsSince_ = loop_.now();  // what has come is about to be read
  updateWaitTimer();
}

// A client may leave before its answer; anything else that ends its connection drops the request.
void ClientConnection::logUnanswered() {
  const bool left = !timedOut_ && (peerEnded() || lastError() == 0 || lastError() == ECONNRESET);
  if (left) {
    if (loop_.log.enabled(LogEvent::clientDisconnected))
      loop_.log(LogEvent::clientDisconnected, LogField{"request", message().get("Req-Id")},
                LogField{"seen_as", std::string_view(peerEnded()        ? "end_of_stream"
                                                     : lastError() != 0 ? "reset"
                                                                        : "end_behind_pipelined_data")});
    return;
  }
  loop_.log(LogEvent::requestDropped, LogField{"request", message().get("Req-Id")},
            LogField{"error", lastError() != 0 ? errorText(lastError()) : "timed out"});
}

// The answer has begun to go out, and the client never has the whole of it.
void ClientConnection::logUnwritten() {
  loop_.log(LogEvent::responseIncomplete, LogField{"request", answeredRequest_},
            LogField{"error", timedOut_          ? "timed out"
                              : lastError() != 0 ? errorText(lastError())
                                                 : "client disconnected"});
}

void ClientConnection::onClosed() {
  if (!allWritten() && !answeredRequest_.empty()) logUnwritten();
  const bool waits = state_ == State::awaitingAnswer;
  if (waits) logUnanswered();
  if (waits) enter(State::receiving);
  listener_.connectionClosed(ref());
  loop_.closeDeferred(ref());
  if (waits) listener_.core().clientLeft(loop_.now(), requestId_);
}

}  // namespace merlinbridge::net
