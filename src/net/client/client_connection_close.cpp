// How a client's connection ends: timeouts, refusals, lingering close.
#include <algorithm>

#include "net/client/client_connection.hpp"
#include "net/header_fields.hpp"

namespace merlinbridge::net {

// Closing a socket with unread data sends a reset, which can overtake the last response. Requests read from
// here on are discarded and never forwarded: the client sees the end of stream and can retry elsewhere.
void ClientConnection::lingeringClose(Duration timeout, ConnectionEndReason reason) {
  if (state_ == State::lingering || !isUp()) return;
  enter(State::lingering);
  lingerReason_ = reason;
  lingerUntil_ = loop_.now() + timeout;
  buffer_.consume(buffer_.size());
  readAheadRefused_ = false;
  shutdownSend();
  updateWaitTimer();
  resumeReading();
}

bool ClientConnection::holdsReclaimableBuffer() const {
  const bool isWaiting = hasIncompleteRequest() ? !parseScheduled_ : !allWritten();
  return isWaiting && isUp() && buffer_.capacity() > BufferBudget::kGuaranteedBytes;
}

std::size_t ClientConnection::reclaimBuffer() {
  const std::size_t bytes = buffer_.capacity();
  closeCause_ = ClientConnectionEnd::Cause::memory;
  if (hasIncompleteRequest())
    refuseForMemory();
  else
    onClosed();
  return bytes;
}

void ClientConnection::refuseForMemory() {
  persistence_ = Persistence::close;
  refuse(kOutOfMemory);
}

void ClientConnection::timeOutRequest(Duration closeTimeout) {
  persistence_ = Persistence::close;
  answerText(kRequestIncomplete);
  if (state_ != State::lingering) return;
  lingerUntil_ = std::min(lingerUntil_, loop_.now() + closeTimeout);
  updateWaitTimer();
}

void ClientConnection::refuseIncompleteRequest() {
  if (state_ == State::receiving && received() > 0) refuse(kShuttingDown);
}

// An idle connection gets a lingering close, since the client may be sending another request at the same
// time. If a request has already arrived, the wait restarts and the request is read next.
void ClientConnection::onTimeout() {
  closeCause_ = ClientConnectionEnd::Cause::timeout;
  if (state_ == State::lingering || !allWritten()) return onClosed();
  if (message_.hasBegun()) return timeOutRequest(deadlines_.maxDeadline());
  if (isIdle() && hasNothingToRead())
    return lingeringClose(deadlines_.maxDeadline(), ConnectionEndReason::idleTimeout);
  closeCause_ = ClientConnectionEnd::Cause::peerOrFault;
  deadlines_.startWait(loop_.now());
  updateWaitTimer();
}

ClientConnectionEnd ClientConnection::connectionEnd() const {
  return {closeCause_, halfClosedByPeer(), lastError()};
}

ConnectionEndReason ClientConnection::endReason() const {
  if (state_ == State::lingering) return lingerReason_;
  if (closeCause_ == ClientConnectionEnd::Cause::timeout) return ConnectionEndReason::responseTimeout;
  if (closeCause_ == ClientConnectionEnd::Cause::memory) return ConnectionEndReason::noMemory;
  if (lastError() == 0) return ConnectionEndReason::clientClosed;
  return isCausedByPeer(lastError()) ? ConnectionEndReason::clientReset
                                     : ConnectionEndReason::systemCallFailed;
}

// Calls the core last: from clientDisconnected(), it may answer or start other requests.
void ClientConnection::onClosed() {
  if (!allWritten() && !answeredRequestId_.empty())
    logIncompleteResponse(loop_.log, answeredRequestId_, connectionEnd());
  const bool isUnanswered = state_ == State::awaitingResponse;
  if (isUnanswered) logUnansweredRequest(loop_.log, message().get(kRequestIdField), connectionEnd());
  if (isUnanswered) enter(State::receiving);
  owner_.connectionClosed(ref(), endReason(), counts_);
  loop_.closeDeferred(ref());
  if (isUnanswered) owner_.core().clientDisconnected(loop_.now(), requestId_);
}

}  // namespace merlinbridge::net
