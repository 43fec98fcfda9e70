#include "net/client/client_connection.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "net/header_fields.hpp"

namespace merlinbridge::net {
namespace {

// After its client has left, a request may start no attempt later than this.
constexpr Duration kClientGoneWithin = std::chrono::milliseconds(100);
// Checks in that time for an end of stream that stands behind much pipelined data.
constexpr int kEndChecks = 3;
// Bound on what all clients together may have buffered only so that such an end is read.
constexpr std::size_t kMaxPipelinedBytes = 32 * (http::kMaxHeadBytes + http::kMaxBodyBytes);
// Of a Req-Id: the rest is cut off in the log.
constexpr std::size_t kMaxLoggedIdBytes = 32;

}  // namespace

ClientConnection::ClientConnection(EventLoop& loop, Socket socket, ClientConnectionOwner& owner,
                                   const ClientTimeouts& timeouts)
    : Connection(loop, std::move(socket)), owner_(owner), deadlines_(loop.now(), timeouts) {}

// receiving -> deciding -> awaitingAnswer -> receiving; any answer leads back to receiving. lingering is the
// last state and may follow any other.
void ClientConnection::enter(State next) {
  if (state_ != State::lingering) state_ = next;
}

void ClientConnection::onData() {
  if (state_ == State::lingering) return buffer_.consume(buffer_.size());
  if (state_ != State::awaitingAnswer) {
    if (!message_.hasBegun()) deadlines_.startWait(loop_.now());
    parseRequests();
  }
  if (state_ != State::awaitingAnswer && message_.hasBegun()) updateWaitTimer();
  if (readBufferFull()) scheduleEndCheck();
}

// A client may pipeline much and leave: its end of stream stands behind data that is not read, and may even
// be held back at the client until buffers here are free. While its request waits for an answer, more of that
// data is read, as long as all clients together stay below kMaxPipelinedBytes. Above that, only an end that
// has reached this machine is seen.
void ClientConnection::scheduleEndCheck() {
  if (std::exchange(endCheckScheduled_, true)) return;
  loop_.deadlines.add(loop_.now() + kClientGoneWithin / kEndChecks, [&loop = loop_, self = ref()](TimePoint) {
    if (auto* const client = loop.find<ClientConnection>(self)) client->checkForEnd();
  });
}

void ClientConnection::checkForEnd() {
  endCheckScheduled_ = false;
  if (!readBufferFull()) return;
  if (peerHungUp()) return onClosed();
  const std::size_t buffered = owner_.bufferedBytes();
  const std::size_t free = buffered < kMaxPipelinedBytes ? kMaxPipelinedBytes - buffered : 0;
  if (free > 0) pipelineAllowance_ = std::max(pipelineAllowance_, buffer_.size() + free);
  resumeReading();
  scheduleEndCheck();
}

// Handles the requests in the buffer as long as there are complete ones and none waits for its answer.
void ClientConnection::parseRequests() {
  if (std::exchange(parsing_, true)) return;
  while (isUp() && state_ == State::receiving && allWritten() && !buffer_.empty()) {
    const auto stage = message_.advance(buffer_.data(), received());
    if (stage == http::Message::Stage::bad) {
      answerBadFraming();
    } else if (stage == http::Message::Stage::done) {
      handleRequest();
    } else {
      sendContinueIfExpected();
      break;
    }
  }
  parsing_ = false;
}

// Nothing behind bad framing can be read as a request.
void ClientConnection::answerBadFraming() {
  persistence_ = Persistence::close;
  answerText({message_.errorStatus(), kBadFramingText});
}

void ClientConnection::sendContinueIfExpected() {
  const bool bodyHasBegun = message_.bodyOffset() != buffer_.size();
  if (message_.expectsContinue() && message_.stage() == http::Message::Stage::body && !bodyHasBegun)
    send({kContinueResponse});
}

void ClientConnection::handleRequest() {
  if (answerHealthCheck()) return;
  // The answers to these methods are framed in another way than a host's answer to a request.
  if (message_.method() == "HEAD" || message_.method() == "CONNECT") return answerText(kMethodNotAllowed);
  // The request may have been pipelined by a client that has left since.
  if (readBufferFull() && peerHungUp()) return onClosed();
  forwardRequest();
}

// Returns true if the message was a request to a health endpoint.
bool ClientConnection::answerHealthCheck() {
  if (!message_.get(kRequestIdField).empty()) return false;
  const std::string_view path = message_.target().substr(0, message_.target().find('?'));
  if (path != kReadyPath && path != kLivePath) return false;
  const TextResponse& readiness = owner_.isReady() ? kReady : kNotReady;
  answerText(path == kReadyPath ? readiness : kLive);
  return true;
}

// The core may answer before requestArrived() returns; then the state is receiving again.
void ClientConnection::forwardRequest() {
  const TimePoint now = loop_.now();
  core::GatewayCore& core = owner_.core();
  const core::ParsedRequest parsed = core::parseRequest(message_, core.names(), core.settings(), now);
  if (parsed.error) return answerText({kStatusBadRequest, std::string(core::textOf(*parsed.error)) + "\n"});
  enter(State::deciding);
  const RequestId requestId = core.requestArrived(now, ref(), parsed.request);
  if (state_ != State::deciding) return;
  requestId_ = requestId;
  enter(State::awaitingAnswer);
}

void ClientConnection::answerText(const TextResponse& response) {
  answer(response.status, kTextPlainField, response.text);
}

// While the gateway drains, a connection with a next request on it is kept: the system has accepted that
// request, and a close would drop it.
Persistence ClientConnection::persistenceAfter(bool messageComplete) const {
  if (persistence_ == Persistence::close || !message_.keepsAlive()) return Persistence::close;
  if (!owner_.isDraining()) return Persistence::keepAlive;
  const bool isKept = hasNextRequest(messageComplete) && loop_.now() < owner_.lastAnswerBy();
  return isKept ? Persistence::keepAlive : Persistence::close;
}

bool ClientConnection::hasNextRequest(bool messageComplete) const {
  return messageComplete && (buffer_.size() > message_.size() || hasUnreadBytes());
}

void ClientConnection::answer(int status, std::string_view fields, std::string_view body) {
  if (!isUp()) return;
  enter(State::receiving);
  const bool messageComplete = message_.stage() == http::Message::Stage::done;
  deadlines_.firstRequestAnswered();
  persistence_ = persistenceAfter(messageComplete);
  const bool headOnly = message().method() == "HEAD";
  const ResponseHead head(status, body.size(), fields, persistence_);
  answeredRequest_.assign(message_.get(kRequestIdField).substr(0, kMaxLoggedIdBytes));
  buffer_.consume(messageComplete ? message_.size() : buffer_.size());
  pipelineAllowance_ = 0;
  message_.clear();
  deadlines_.startWait(loop_.now());
  send({head.text(), headOnly ? std::string_view() : body});
  logRequestAnswered(loop_.log, answeredRequest_, status, writeProgress());
  if (!allWritten()) updateWaitTimer();
}

WriteProgress ClientConnection::writeProgress() const {
  if (allWritten()) return WriteProgress::complete;
  return isUp() ? WriteProgress::partial : WriteProgress::connectionClosed;
}

void ClientConnection::onAllWritten() {
  if (persistence_ == Persistence::close && state_ != State::awaitingAnswer && !message_.hasBegun())
    return lingeringClose(deadlines_.maxDeadline());
  resumeReading();
  if (!parsing_ && !buffer_.empty()) parseRequestsLater();
  if (isIdle()) owner_.connectionIdle();
}

// The core may still be busy with the request just answered: a pipelined request reaches it in a turn of its
// own.
void ClientConnection::parseRequestsLater() {
  asio::post(loop_.strand, [&loop = loop_, self = ref()] {
    if (auto* const client = loop.find<ClientConnection>(self)) client->parseRequests();
    loop.endTurn();
  });
}

// A close over unread data would send a reset, which can overtake the last answer. What is read from here on
// was not taken and is never forwarded: the client sees the end of the stream and asks elsewhere.
void ClientConnection::lingeringClose(Duration timeout) {
  if (state_ == State::lingering || !isUp()) return;
  enter(State::lingering);
  lingerUntil_ = loop_.now() + timeout;
  buffer_.consume(buffer_.size());
  shutdownSend();
  updateWaitTimer();
  resumeReading();
}

// While a request is in hand, at most a head's length of what is pipelined behind it is buffered, or what
// checkForEnd() has allowed.
bool ClientConnection::readBufferFull() const {
  return (state_ == State::awaitingAnswer || parsing_) &&
         buffer_.size() > std::max(message_.size() + http::kMaxHeadBytes, pipelineAllowance_);
}

// A client whose end of stream comes right behind its request has left, and the request must not be
// forwarded: the end is read in the same turn.
std::size_t ClientConnection::readAheadLimit() const {
  const bool isReceiving = state_ == State::receiving || state_ == State::deciding;
  return isReceiving ? http::kMaxHeadBytes + http::kMaxBodyBytes : 0;
}

// The core enforces the deadline of a request that it has.
TimePoint ClientConnection::waitDeadline() const {
  if (state_ == State::lingering) return lingerUntil_;
  if (state_ == State::awaitingAnswer) return loop_.now() + deadlines_.maxDeadline();
  if (!allWritten()) return deadlines_.writeDeadline();
  return message_.hasBegun() ? deadlines_.requestDeadline() : deadlines_.idleDeadline();
}

void ClientConnection::timeOutRequest(Duration closeWithin) {
  persistence_ = Persistence::close;
  answerText(kRequestIncomplete);
  if (state_ != State::lingering) return;
  lingerUntil_ = std::min(lingerUntil_, loop_.now() + closeWithin);
  updateWaitTimer();
}

// An idle connection is closed by a lingering close, since a next request may cross the close on its way. If
// a request has come already, the wait starts anew and the request is read next.
void ClientConnection::onTimeout() {
  closeCause_ = ClientConnectionEnd::Cause::timeout;
  if (state_ == State::lingering || !allWritten()) return onClosed();
  if (message_.hasBegun()) return timeOutRequest(deadlines_.maxDeadline());
  if (nothingReceived()) return lingeringClose(deadlines_.maxDeadline());
  closeCause_ = ClientConnectionEnd::Cause::peerOrFault;
  deadlines_.startWait(loop_.now());
  updateWaitTimer();
}

ClientConnectionEnd ClientConnection::presentEnd() const {
  return {closeCause_, peerEnded(), lastError()};
}

// The core is called last: it may answer or start other requests from clientDisconnected().
void ClientConnection::onClosed() {
  if (!allWritten() && !answeredRequest_.empty())
    logIncompleteResponse(loop_.log, answeredRequest_, presentEnd());
  const bool isUnanswered = state_ == State::awaitingAnswer;
  if (isUnanswered) logUnansweredRequest(loop_.log, message().get(kRequestIdField), presentEnd());
  if (isUnanswered) enter(State::receiving);
  owner_.connectionClosed(ref());
  loop_.closeDeferred(ref());
  if (isUnanswered) owner_.core().clientDisconnected(loop_.now(), requestId_);
}

}  // namespace merlinbridge::net
