#include "net/counter/counter_connection.hpp"

#include <algorithm>
#include <utility>

namespace merlinbridge::net {
namespace {

// How long a retired connection may wait for responses, as a multiple of the connect timeout. After the
// counter service has moved, its old address closes connections 1.5 s later at the earliest, which is past
// this bound.
constexpr int kMaxRetirementInConnectTimeouts = 4;
// A counter service that sends now and then but leaves this many calls unanswered is treated as silent.
constexpr std::size_t kMaxCallsWithoutResponse = 1024;

}  // namespace

CounterConnection::CounterConnection(EventLoop& loop, CounterConnectionOwner& owner,
                                     const CounterTimeouts& timeouts)
    : Connection(loop), owner_(owner), timeouts_(timeouts), lastResponseAt_(loop.now()) {}

// Transitions: inUse -> retired -> closed, or inUse -> closed. A state that was left is not entered again.
void CounterConnection::enter(State next) {
  state_ = std::max(state_, next);
}

void CounterConnection::call(const CounterKey& key, std::string_view message) {
  const TimePoint now = loop_.now();
  if (calls_.empty()) lastResponseAt_ = now;
  const std::uint64_t number = firstCallNumber_ + calls_.size();
  const auto timeout =
      loop_.deadlines.add(now + timeouts_.call, [&loop = loop_, self = ref(), number](TimePoint at) {
        if (auto* const connection = loop.find<CounterConnection>(self)) connection->callTimedOut(at, number);
      });
  calls_.push_back({key, now, timeout, false});
  sendLater(message);
}

// The call stays in the queue, since its response may still come and must be matched to it. A connection that
// is not up, or on which no response has ended for the connect timeout, is closed: bytes of a response that
// never ends would keep every later call from its own. That comes before the report, since the owner may then
// start calls, which must not use the closed connection.
void CounterConnection::callTimedOut(TimePoint now, std::uint64_t number) {
  if (number < firstCallNumber_ || number - firstCallNumber_ >= calls_.size()) return;
  Call& pending = calls_[number - firstCallNumber_];
  if (std::exchange(pending.reported, true)) return;
  const Call call = pending;
  const CounterResponse response = noResponse();
  const bool isUnresponsive = now - lastResponseAt_ >= timeouts_.connect;
  if (!isUp() || isUnresponsive || calls_.size() > kMaxCallsWithoutResponse) onClosed();
  report(now, call, response);
  if (isRetiredAndDone()) onClosed();
}

// Closing immediately would lose the results of calls that the service has read and will add.
void CounterConnection::retire() {
  enter(State::retired);
  if (!isUp() || isRetiredAndDone()) return onClosed();
  loop_.deadlines.add(loop_.now() + kMaxRetirementInConnectTimeouts * timeouts_.connect,
                      [&loop = loop_, self = ref()](TimePoint) {
                        if (auto* const connection = loop.find<CounterConnection>(self))
                          connection->onClosed();
                      });
}

bool CounterConnection::isRetiredAndDone() const {
  return state_ == State::retired &&
         std::all_of(calls_.begin(), calls_.end(), [](const Call& call) { return call.reported; });
}

// The owner may start further calls when a result is reported. They are appended to the buffer behind the
// received bytes, and received() does not count them.
void CounterConnection::onData() {
  while (isUp() && received() > 0)
    if (!readResponse()) return;
}

// Reads one response and reports it. Returns false if the response is incomplete or the connection has
// closed.
bool CounterConnection::readResponse() {
  const auto stage = responseMessage_.advance(buffer_.data(), received());
  if (stage == http::Message::Stage::invalid || calls_.empty()) {
    onClosed();
    return false;
  }
  if (stage != http::Message::Stage::done) return false;
  lastResponseAt_ = loop_.now();
  const Call call = calls_.front();
  calls_.pop_front();
  ++firstCallNumber_;
  const CounterResponse response = parseCounterResponse(responseMessage_.status(), responseMessage_.body());
  const bool isLastResponse = !responseMessage_.keepsAlive();
  buffer_.consume(responseMessage_.size());
  responseMessage_.clear();
  if (!call.reported) {
    loop_.deadlines.cancel(call.timeout);
    report(lastResponseAt_, call, response);
  }
  if (!isLastResponse && !isRetiredAndDone()) return true;
  onClosed();
  return false;
}

void CounterConnection::report(TimePoint now, const Call& call, const CounterResponse& response) {
  owner_.counterCallEnded(now, {call.key, response.outcome, response.total, now - call.startedAt});
}

// The outcome of a call without a response. Nothing is written before the connection is up or after it has
// closed.
CounterResponse CounterConnection::noResponse() const {
  return {outcomeWithoutResponse(isUp() ? CallDelivery::maybeWritten : CallDelivery::neverWritten), 0};
}

// Reports the close to the owner before the results, so that calls which the owner starts for a result go to
// another connection.
void CounterConnection::onClosed() {
  if (state_ == State::closed) return;
  enter(State::closed);
  owner_.counterConnectionClosed(ref());
  const CounterResponse response = noResponse();
  const std::deque<Call> calls = std::exchange(calls_, {});
  loop_.closeDeferred(ref());
  const TimePoint now = loop_.now();
  for (const Call& call : calls) {
    if (call.reported) continue;
    loop_.deadlines.cancel(call.timeout);
    report(now, call, response);
  }
}

TimePoint CounterConnection::waitDeadline() const {
  if (!isUp()) return lastResponseAt_ + timeouts_.connect;
  return (calls_.empty() ? lastResponseAt_ : loop_.now()) + timeouts_.idle;
}

}  // namespace merlinbridge::net
