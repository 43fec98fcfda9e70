#include "net/upstream/upstream_connection.hpp"

#include <algorithm>
#include <utility>

#include "net/upstream/deadline_field.hpp"
#include "net/upstream/upstream_outcome.hpp"

namespace merlinbridge::net {

UpstreamConnection::UpstreamConnection(EventLoop& loop, UpstreamConnectionOwner& owner, HostId host,
                                       Incarnation incarnation, const UpstreamTimeouts& timeouts)
    : Connection(loop),
      owner_(owner),
      host_(host),
      incarnation_(incarnation),
      timeouts_(timeouts),
      idleSince_(loop.now()) {}

std::optional<Outcome> UpstreamConnection::start(std::string_view message, RequestId requestId,
                                                 AttemptNumber attemptNumber, AttemptDeadline deadline) {
  requestId_ = requestId;
  attemptNumber_ = attemptNumber;
  deadline_ = deadline;
  state_ = State::starting;
  requestBytes_ = message.size();
  const bool isConnected = isUp();
  send({message});
  // The connection failed inside send(), before the request was written in full: the host does not execute
  // it. Without a connection only the memory for the request can be missing.
  if (state_ != State::starting) return isConnected ? Outcome::noConnection : Outcome::notSent;
  state_ = isConnected ? State::inFlight : State::queued;
  if (!allWritten()) updateWaitTimer();
  return std::nullopt;
}

// The unsent request is written next.
void UpstreamConnection::onConnected() {
  if (state_ == State::queued) state_ = State::inFlight;
}

// Updates the deadline field if no byte of the request has been written yet. The time spent waiting for the
// socket counts towards the deadline; with the old value the host would still work on the request after the
// client has stopped waiting.
void UpstreamConnection::beforeWritingUnsent() {
  if (state_ == State::idle || unsentBytes() != requestBytes_) return;
  const std::string message = withDeadline(unsent(), deadline_.abandonAt - loop_.now());
  requestBytes_ = message.size();
  replaceUnsent(message);
}

// A request that waited for the connection or for socket buffer space must not be written after its `writeBy`
// time or after its client has disconnected. In state `starting` the core has just checked that the client is
// connected.
bool UpstreamConnection::mayWrite() const {
  if (loop_.now() >= deadline_.writeBy) return false;
  return state_ == State::idle || state_ == State::starting || owner_.clientAwaitsAnswer(requestId_);
}

// An invalid response is an error, since the host may have executed the request.
void UpstreamConnection::onData() {
  if (state_ == State::idle) return owner_.closeConnection(ref());  // unsolicited bytes
  const auto stage = response_.advance(buffer_.data(), received());
  if (stage == http::Message::Stage::invalid) return finish(Outcome::error);
  if (stage == http::Message::Stage::done) finish(outcomeOf(response_), readUpstreamResponse(response_));
}

// The host may have executed the request whose response finds no memory.
void UpstreamConnection::onBufferRefused() {
  if (state_ == State::idle) return owner_.closeConnection(ref());
  finish(Outcome::error);
}

// A response without a length is complete only if the peer ended its stream in good order; after a reset it
// may be truncated.
void UpstreamConnection::onClosed() {
  response_.bufferMoved(buffer_.data());  // the read that reached the end may have moved the buffer
  const bool isComplete =
      halfClosedByPeer() && response_.hasBegun() && response_.peerClosed() == http::Message::Stage::done;
  if (state_ == State::idle) {
    owner_.idleConnectionBroke(host_);
    return owner_.closeConnection(ref());
  }
  if (isComplete) return finish(outcomeOf(response_), readUpstreamResponse(response_));
  if (isUnsent() && !mayWrite()) return finish(Outcome::notSent);
  finish(isUp() && allWritten() ? Outcome::lost : Outcome::noConnection);
}

void UpstreamConnection::finish(Outcome outcome, const core::UpstreamResponse& response) {
  const TimePoint now = loop_.now();
  logAttemptEnd(outcome);
  const State previousState = std::exchange(state_, State::idle);
  if (previousState == State::starting) return owner_.closeConnection(ref());  // write() reports the failure
  const bool reusable = response_.stage() == http::Message::Stage::done && response_.keepsAlive() && isUp() &&
                        allWritten() && response_.size() == buffer_.size();
  // The body of an ok response stays in the buffer until attemptEnded() has written it to the client, so the
  // connection becomes idle only afterwards. After any other outcome it becomes idle first, so that a retry
  // started by attemptEnded() may use it.
  if (!reusable) owner_.closeConnection(ref());
  if (reusable && outcome != Outcome::ok) becomeIdle();
  const SlotRef self = ref();
  owner_.attemptEnded(now, requestId_, attemptNumber_, outcome, response);
  if (reusable && outcome == Outcome::ok && loop_.find(self)) becomeIdle();
}

void UpstreamConnection::becomeIdle() {
  buffer_.consume(buffer_.size());
  response_.clear();
  idleSince_ = loop_.now();
  owner_.connectionIdle(host_, ref());
}

void UpstreamConnection::logAttemptEnd(Outcome outcome) {
  if (!loop_.log.enabled(LogEvent::attemptEnded)) return;
  loop_.log(LogEvent::attemptEnded, LogField{"request_number", requestId_.value},
            LogField{"attempt", attemptNumber_.value}, LogField{"host", owner_.hostName(host_)},
            LogField{"outcome", nameOf(outcome)}, LogField{"error", errorText(lastError())});
}

TimePoint UpstreamConnection::waitDeadline() const {
  if (!isUp()) return std::min(idleSince_ + timeouts_.connect, deadline_.writeBy);
  if (state_ == State::idle) return idleSince_ + timeouts_.idle;
  // While the response is awaited, the core enforces the attempt's deadline.
  return allWritten() ? loop_.now() + timeouts_.idle : deadline_.writeBy;
}

void UpstreamConnection::onTimeout() {
  if (state_ == State::idle) return owner_.closeConnection(ref());
  if (isUnsent() && !mayWrite()) return finish(Outcome::notSent);
  if (failedLocally()) return finish(Outcome::notSent);
  // The connect timed out: the host's machine may have vanished, which would leave its idle connections dead
  // without any event on them.
  if (!isUp()) owner_.closeIdle(host_);
  finish(isUp() ? Outcome::noResponse : Outcome::noConnection);
}

}  // namespace merlinbridge::net
