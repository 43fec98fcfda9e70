#include "net/upstream/upstream_connection.hpp"

#include <algorithm>
#include <utility>

#include "net/upstream/deadline_field.hpp"
#include "net/upstream/upstream_outcome.hpp"

namespace merlinbridge::net {

UpstreamConnection::UpstreamConnection(EventLoop& loop, UpstreamConnectionOwner& owner, HostId host,
                                       const UpstreamTimeouts& timeouts)
    : Connection(loop), owner_(owner), host_(host), timeouts_(timeouts), idleSince_(loop.now()) {}

std::optional<Outcome> UpstreamConnection::start(std::string_view message, RequestId requestId,
                                                 AttemptNumber attemptNumber, AttemptDeadline deadline) {
  requestId_ = requestId;
  attemptNumber_ = attemptNumber;
  deadline_ = deadline;
  if (isUp()) return write(message) ? std::nullopt : std::optional(Outcome::noConnection);
  state_ = State::queued;
  queuedRequest_ = message;
  updateWaitTimer();
  return std::nullopt;
}

// Returns false if the connection broke before the last byte was written: the attempt has not run.
bool UpstreamConnection::write(std::string_view message) {
  state_ = State::starting;
  requestBytes_ = message.size();
  send({message});
  if (state_ != State::starting) return false;
  state_ = State::inFlight;
  if (!allWritten()) updateWaitTimer();
  return true;
}

void UpstreamConnection::onConnected() {
  if (state_ != State::queued) return;
  const std::string message =
      withDeadline(std::exchange(queuedRequest_, {}), deadline_.abandonAt - loop_.now());
  if (!mayWrite()) return finish(Outcome::notSent);
  if (!write(message))
    owner_.attemptEnded(loop_.now(), requestId_, attemptNumber_, Outcome::noConnection, {});
}

// Rewrites the deadline header just before the request is written, as long as none of it has been. Time spent
// waiting for the socket has already used up part of the deadline; a stale value would let the host work on
// after the client has given up.
void UpstreamConnection::beforeWritingUnsent() {
  if (state_ == State::idle || unsentBytes() != requestBytes_) return;
  const std::string message = withDeadline(unsent(), deadline_.abandonAt - loop_.now());
  requestBytes_ = message.size();
  replaceUnsent(message);
}

// A request that was kept for the dial or for a full socket must not go out after its window, or once its
// client has gone. While it is starting, the core has just looked for the client.
bool UpstreamConnection::mayWrite() const {
  if (loop_.now() >= deadline_.writeBy) return false;
  return state_ == State::idle || state_ == State::starting || owner_.isPending(requestId_);
}

// An answer that cannot be read counts as an error, not as no answer: the request may have run.
void UpstreamConnection::onData() {
  if (state_ == State::idle) return owner_.closeConnection(ref());  // stray bytes, no request is out
  const auto stage = answer_.advance(buffer_.data(), received());
  if (stage == http::Message::Stage::bad) return finish(Outcome::error);
  if (stage == http::Message::Stage::done) finish(outcomeOf(answer_), readUpstreamResponse(answer_));
}

// An answer without a length is complete only if the stream ended in good order; a reset has cut it short.
void UpstreamConnection::onClosed() {
  answer_.bufferMoved(buffer_.data());  // the read that found the end may have moved the buffer
  const bool answered =
      peerEnded() && answer_.hasBegun() && answer_.peerClosed() == http::Message::Stage::done;
  if (state_ == State::idle) return owner_.closeConnection(ref());
  if (answered) return finish(outcomeOf(answer_), readUpstreamResponse(answer_));
  if (isUnsent() && !mayWrite()) return finish(Outcome::notSent);
  finish(isUp() && allWritten() ? Outcome::lost : Outcome::noConnection);
}

void UpstreamConnection::finish(Outcome outcome, const core::UpstreamResponse& response) {
  const TimePoint now = loop_.now();
  logEnd(outcome);
  const State before = std::exchange(state_, State::idle);
  if (before == State::starting) return owner_.closeConnection(ref());  // write() reports the failure
  const bool reusable = answer_.stage() == http::Message::Stage::done && answer_.keepsAlive() && isUp() &&
                        allWritten() && answer_.size() == buffer_.size();
  // The body of an ok answer stays in the buffer until attemptEnded() has written it to the client. After any
  // other outcome, the next attempt that attemptEnded() starts may use this connection.
  if (!reusable) owner_.closeConnection(ref());
  if (reusable && outcome != Outcome::ok) becomeIdle();
  const SlotRef self = ref();
  owner_.attemptEnded(now, requestId_, attemptNumber_, outcome, response);
  if (reusable && outcome == Outcome::ok && loop_.find(self)) becomeIdle();
}

void UpstreamConnection::becomeIdle() {
  buffer_.consume(buffer_.size());
  answer_.clear();
  idleSince_ = loop_.now();
  owner_.connectionIdle(host_, ref());
}

void UpstreamConnection::logEnd(Outcome outcome) {
  if (!loop_.log.enabled(LogEvent::attemptEnded)) return;
  loop_.log(LogEvent::attemptEnded, LogField{"request_number", requestId_.value},
            LogField{"attempt", attemptNumber_.value}, LogField{"host", owner_.hostName(host_)},
            LogField{"outcome", nameOf(outcome)}, LogField{"error", errorText(lastError())});
}

TimePoint UpstreamConnection::waitDeadline() const {
  if (!isUp()) return std::min(idleSince_ + timeouts_.connect, deadline_.writeBy);
  if (state_ == State::idle) return idleSince_ + timeouts_.idle;
  // The core ends an attempt that awaits its answer, by a deadline of its own.
  return allWritten() ? loop_.now() + timeouts_.idle : deadline_.writeBy;
}

void UpstreamConnection::onTimeout() {
  if (state_ == State::idle) return owner_.closeConnection(ref());
  if (isUnsent() && !mayWrite()) return finish(Outcome::notSent);
  if (failedLocally()) return finish(Outcome::notSent);
  // If the host's machine has vanished, its idle connections are dead, too, though nothing has been heard of
  // it.
  if (!isUp()) owner_.closeIdle(host_);
  finish(isUp() ? Outcome::noResponse : Outcome::noConnection);
}

}  // namespace merlinbridge::net
