#include "net/stream_dialer.hpp"

#include <boost/asio/yield.hpp>

namespace merlinbridge::net {

void StreamDialer::begin(const SocketAddress& peer) {
  peer_ = peer;
  step({});
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): Asio's coroutine macros are counted
DialProgress StreamDialer::step(const Error& error) {
  reenter(coroutine_) {
    result_ = dial();
    if (result_.status == CallStatus::done || result_.status == CallStatus::broken) {
      yield socket_.postStep(ConnectionStep::dial);
    }
    while (result_.status != CallStatus::done) {
      if (result_.status == CallStatus::broken) return DialProgress::failed;
      if (result_.status == CallStatus::shortage) {
        yield socket_.retryLater(ConnectionStep::dial);
        result_ = dial();
      } else {
        yield socket_.waitFor(Socket::wait_write, ConnectionStep::dial);
        result_ = resultAfterWait(error);
      }
    }
    return DialProgress::connected;
  }
  return DialProgress::pending;
}

CallResult StreamDialer::dial() {
  if (const CallResult opened = socket_.openFor(peer_); opened.status != CallStatus::done) return opened;
  const CallResult started =
      startConnect(socket_.descriptor(), peer_.data(), static_cast<socklen_t>(peer_.size()));
  socket_.recordResult(SystemCall::connect, started);
  return started;
}

CallResult StreamDialer::resultAfterWait(const Error& error) {
  const bool failedWait = waitFailed(error);
  const CallResult result =
      failedWait ? CallResult{CallStatus::shortage, 0, error.value()} : connectResult(socket_.descriptor());
  socket_.recordResult(failedWait ? SystemCall::wait : SystemCall::connect, result);
  return result;
}

}  // namespace merlinbridge::net

#include <boost/asio/unyield.hpp>
