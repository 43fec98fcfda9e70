#include "net/client/client_connection.hpp"

#include <fmt/compile.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

#include "net/header_fields.hpp"
#include "net/system_calls.hpp"

namespace merlinbridge::net {
namespace {

// After its client has disconnected, a request must not start an attempt later than this.
constexpr Duration kDisconnectDetectionTime = std::chrono::milliseconds(100);
// Number of checks within that time for an end of stream after a large amount of pipelined data.
constexpr int kDisconnectChecks = 3;
// Reads before a request is forwarded, for data that keeps arriving.
constexpr int kMaxReadsBeforeForwarding = 4;
// Bytes of pipelined requests that are buffered between two requests.
constexpr std::size_t kReadAheadBytes = http::kMaxHeadBytes + http::kMaxBodyBytes;
// A longer Req-Id is truncated in the log.
constexpr std::size_t kMaxLoggedIdBytes = 32;

}  // namespace

ClientConnection::ClientConnection(EventLoop& loop, Socket socket, ClientConnectionOwner& owner,
                                   const ClientTimeouts& timeouts)
    : Connection(loop, std::move(socket)), owner_(owner), deadlines_(loop.now(), timeouts) {}

// receiving -> submitting -> awaitingResponse -> receiving. answer() returns to receiving from any of these.
// lingering is final and can follow any state.
void ClientConnection::enter(State next) {
  if (state_ != State::lingering) state_ = next;
}

void ClientConnection::onData() {
  lastReceivedAt_ = loop_.now();
  if (state_ == State::lingering) return buffer_.consume(buffer_.size());
  if (state_ != State::awaitingResponse) {
    if (!message_.hasBegun()) deadlines_.startWait(loop_.now());
    if (!parseScheduled_) parseRequest();
  }
  if (state_ != State::awaitingResponse && message_.hasBegun()) updateWaitTimer();
  if (readBufferFull()) scheduleDisconnectCheck();
}

// A client may pipeline a lot of data and then disconnect. Its end of stream then follows unread data, and
// may not even leave the client until receive buffers here have space. While its request waits for a
// response, the connection therefore reads more of that data as long as the buffers of all connections
// together leave spare bytes. Otherwise only an end of stream that has reached this machine is detected.
void ClientConnection::scheduleDisconnectCheck() {
  if (std::exchange(disconnectCheckScheduled_, true)) return;
  loop_.deadlines.add(loop_.now() + kDisconnectDetectionTime / kDisconnectChecks,
                      [&loop = loop_, self = ref()](TimePoint) {
                        if (auto* const client = loop.find<ClientConnection>(self))
                          client->checkForDisconnect();
                      });
}

void ClientConnection::checkForDisconnect() {
  disconnectCheckScheduled_ = false;
  if (!readBufferFull()) return;
  if (peerHungUp()) return onClosed();
  if (const std::size_t spare = loop_.buffers.spareBytes(); spare > 0) {
    pipelineBufferLimit_ = std::max(pipelineBufferLimit_, buffer_.size() + spare);
    readAheadRefused_ = false;
  }
  resumeReading();
  scheduleDisconnectCheck();
}

// Handles the request at the front of the buffer if it is complete.
void ClientConnection::parseRequest() {
  if (parsing_ || !isUp() || state_ != State::receiving || !allWritten() || buffer_.empty()) return;
  parsing_ = true;
  const auto stage = message_.advance(buffer_.data(), received());
  if (stage == http::Message::Stage::invalid) {
    answerBadFraming();
  } else if (stage == http::Message::Stage::done) {
    handleRequest();
  } else if (stage == http::Message::Stage::body && !std::exchange(headHandled_, true)) {
    handleHead();
  }
  parsing_ = false;
}

// After bad framing, the start of the next request cannot be found, so the connection closes.
void ClientConnection::answerBadFraming() {
  persistence_ = Persistence::close;
  refuse({message_.errorStatus(), kBadFramingText});
}

// Runs once for each request whose head arrives before its body. If the client waits to be asked for the
// body, a final response that is known already is sent at once.
void ClientConnection::handleHead() {
  const bool bodyHasBegun = message_.bodyOffset() != received();
  if (!message_.expectsContinue() || bodyHasBegun || answerHealthCheck()) return;
  const auto parsed = checkOrRefuse();
  if (!parsed) return;
  if (const auto retryAfter = owner_.core().rejectionInAdvance(loop_.now(), parsed->request)) {
    ++counts_.refusals;
    owner_.requestRefused(kOverLimitsReason, message().get(kRequestIdField));
    return reject(*retryAfter);
  }
  if (!hasMemoryForBody()) return refuseForMemory();
  ++counts_.interimResponses;
  send({kContinueResponse});
}

bool ClientConnection::hasMemoryForBody() {
  const std::size_t capacity = buffer_.capacityFor(message_.contentLength());
  if (capacity <= std::max(buffer_.capacity(), BufferBudget::kGuaranteedBytes)) return true;
  return mayGrowBuffer(capacity, BufferUse::receiving);
}

void ClientConnection::handleRequest() {
  if (!answerHealthCheck()) forwardRequest();
}

// Returns true if the message was a health check and has been answered.
bool ClientConnection::answerHealthCheck() {
  if (!message_.get(kRequestIdField).empty()) return false;
  const std::string_view path = message_.target().substr(0, message_.target().find('?'));
  if (message_.method() != "GET" || (path != kReadyPath && path != kLivePath)) return false;
  const TextResponse& readiness = owner_.isReady() ? kReady : kNotReady;
  answerText(path == kReadyPath ? readiness : kLive);
  return true;
}

// Once the gateway's time to answer is over, it refuses instead of forwarding what it could not wait for.
std::optional<core::ParsedRequest> ClientConnection::checkOrRefuse() {
  const RequestCheck check = checkRequest(message(), owner_.core(), loop_.now(), requestArrivedAt());
  const bool isTooLate = owner_.isDraining() && loop_.now() >= owner_.keepAliveEndsAt();
  if (!check.refusal && !isTooLate) return check.parsed;
  refuse(check.refusal.value_or(kShuttingDown));
  return std::nullopt;
}

// The time that the request has waited to be accepted, read or handled is part of its client's time. If the
// client has sent more behind it, it counts as having arrived when that was read, or earlier.
TimePoint ClientConnection::requestArrivedAt() const {
  return std::min(lastReceivedAt_, newestArrivalAt());
}

// The core may answer before requestArrived() returns; the state is then no longer submitting.
void ClientConnection::forwardRequest() {
  const auto parsed = checkOrRefuse();
  if (!parsed) return;
  owner_.deadlineStated(parsed->request.deadline - requestArrivedAt());
  if (!canSeeClientsEnd()) return peerHungUp() ? onClosed() : refuse(kTooMuchPipelined);
  enter(State::submitting);
  const RequestId requestId =
      owner_.core().requestArrived(loop_.now(), ref(), parsed->request, parsed->clientRequestId);
  if (state_ != State::submitting) return;
  requestId_ = requestId;
  enter(State::awaitingResponse);
}

// Reads what has arrived as far as the buffer may hold it. Returns false if the connection is to be closed.
bool ClientConnection::readPipelined() {
  const std::size_t sizeBefore = buffer_.size();
  const bool isOpen = readAhead();
  if (buffer_.size() > sizeBefore) lastReceivedAt_ = loop_.now();
  return isOpen;
}

// While unread data waits in the socket, the client's end of stream may be behind it, and a client that has
// closed long ago looks alive. The same holds for a time after the socket has been emptied: the client's
// system may only now be able to send the rest. Until then its requests are refused. What has arrived since
// the last read is read first, as far as the buffer may hold it.
bool ClientConnection::canSeeClientsEnd() {
  for (int reads = 0; reads < kMaxReadsBeforeForwarding && !hasNothingToRead(); ++reads)
    if (peerHungUp() || !readPipelined()) return false;
  if (!hasNothingToRead()) unreadDataSeenAt_ = loop_.now();
  return !mayHideClientsEnd();
}

bool ClientConnection::mayHideClientsEnd() const {
  return unreadDataSeenAt_ && loop_.now() - *unreadDataSeenAt_ < kDisconnectDetectionTime;
}

core::ClientState ClientConnection::clientState() const {
  if (peerHungUp()) return core::ClientState::disconnected;
  const bool isUnknown = readBufferFull() || mayHideClientsEnd();
  return isUnknown ? core::ClientState::unknown : core::ClientState::connected;
}

void ClientConnection::refuse(const TextResponse& response) {
  const bool hasHead =
      message_.stage() == http::Message::Stage::body || message_.stage() == http::Message::Stage::done;
  ++counts_.refusals;
  owner_.requestRefused(response.text, hasHead ? message().get(kRequestIdField) : std::string_view());
  answerText(response);
}

void ClientConnection::reject(Duration retryAfter) {
  if (retryAfter <= Duration{0}) return answer(kStatusTooManyRequests, "", "");
  answer(kStatusTooManyRequests, fmt::format(FMT_COMPILE("Retry-After: {:.3f}\r\n"), seconds(retryAfter)),
         "");
}

void ClientConnection::answerText(const TextResponse& response) {
  answer(response.status, kTextPlainField, std::string(response.text) + "\n");
}

// After an incomplete request, the rest of it could not be told from the next one. While the gateway drains,
// a connection on which another request has already arrived is kept open: closing it would drop that request.
Persistence ClientConnection::persistenceAfter(bool messageComplete) const {
  if (!messageComplete || persistence_ == Persistence::close || !message_.keepsAlive())
    return Persistence::close;
  if (!owner_.isDraining()) return Persistence::keepAlive;
  const bool isKept = hasNextRequest(messageComplete) && loop_.now() < owner_.keepAliveEndsAt();
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
  ++counts_.responses;
  persistence_ = persistenceAfter(messageComplete);
  const bool headOnly = message().method() == "HEAD";
  const ResponseHead head(status, body.size(), fields, persistence_);
  answeredRequestId_.assign(message_.get(kRequestIdField).substr(0, kMaxLoggedIdBytes));
  buffer_.consume(messageComplete ? message_.size() : received());
  pipelineBufferLimit_ = 0;
  readAheadRefused_ = false;
  message_.clear();
  headHandled_ = false;
  deadlines_.startWait(loop_.now());
  send({head.text(), headOnly ? std::string_view() : body});
  logRequestAnswered(loop_.log, answeredRequestId_, status, writeProgress());
  if (!allWritten()) updateWaitTimer();
}

WriteProgress ClientConnection::writeProgress() const {
  if (allWritten()) return WriteProgress::complete;
  return isUp() ? WriteProgress::partial : WriteProgress::connectionClosed;
}

void ClientConnection::onAllWritten() {
  if (persistence_ == Persistence::close && state_ != State::awaitingResponse && !message_.hasBegun())
    return lingeringClose(deadlines_.maxDeadline(), ConnectionEndReason::closedAfterResponse);
  const bool hasAnswered = !message_.hasBegun();  // and not only sent an interim response
  if (hasAnswered && !buffer_.empty()) parseRequestLater();
  resumeReading();
  if (isIdle()) owner_.connectionIdle();
}

// The next pipelined request is handled behind the events of the other connections. The core may also be
// processing the request just answered.
void ClientConnection::parseRequestLater() {
  if (std::exchange(parseScheduled_, true)) return;
  asio::post(loop_.strand, [&loop = loop_, self = ref()] {
    if (auto* const client = loop.find<ClientConnection>(self)) client->parseScheduledRequest();
    loop.endTurn();
  });
}

void ClientConnection::parseScheduledRequest() {
  parseScheduled_ = false;
  if (state_ == State::lingering) return;
  if (state_ == State::receiving && !readPipelined()) return onClosed();
  parseRequest();
  const bool isIncomplete = state_ == State::receiving && message_.hasBegun();
  if (isIncomplete) {
    readAheadRefused_ = false;  // the rest of a request is not read ahead
    updateWaitTimer();
  }
  resumeReading();
}

// While a request is being processed, at most kReadAheadBytes and one read of pipelined data are buffered
// after it, or as much as checkForDisconnect() has allowed. Otherwise reading pauses only while a complete
// request may be at the front: an incomplete one has bounds of its own.
bool ClientConnection::readBufferFull() const {
  if (readAheadRefused_) return true;
  if (state_ == State::awaitingResponse || parsing_)
    return buffer_.size() >
           std::max(message_.size() + kReadAheadBytes + http::kMaxHeadBytes, pipelineBufferLimit_);
  return parseScheduled_ && buffer_.size() >= kReadAheadBytes;
}

bool ClientConnection::needsMoreOfMessage() const {
  const bool isComplete = message_.stage() == http::Message::Stage::done;
  return state_ == State::receiving && message_.hasBegun() && !isComplete && !parseScheduled_;
}

// A response and the rest of a request may take memory from clients that have stopped; reading ahead takes
// only what is spare.
bool ClientConnection::mayGrowBuffer(std::size_t bytes, BufferUse use) {
  const bool isNeeded = use == BufferUse::sending || needsMoreOfMessage();
  return isNeeded ? loop_.buffers.request(bytes, ref()) : bytes <= loop_.buffers.spareBytes();
}

void ClientConnection::onBufferRefused() {
  if (needsMoreOfMessage()) return refuseForMemory();
  readAheadRefused_ = true;
  scheduleDisconnectCheck();
}

// A request that is directly followed by an end of stream must not be forwarded, because its client has
// disconnected. Reading ahead finds the end in the same turn.
std::size_t ClientConnection::readAheadLimit() const {
  const bool isReceiving = state_ == State::receiving || state_ == State::submitting;
  return isReceiving ? kReadAheadBytes : 0;
}

// While the core processes a request, the core enforces the deadline.
TimePoint ClientConnection::waitDeadline() const {
  if (state_ == State::lingering) return lingerUntil_;
  if (state_ == State::awaitingResponse) return loop_.now() + deadlines_.maxDeadline();
  if (!allWritten()) return deadlines_.writeDeadline();
  return message_.hasBegun() ? deadlines_.requestDeadline() : deadlines_.idleDeadline();
}

}  // namespace merlinbridge::net
