#include "net/counter/counter_connection.hpp"

#include <algorithm>
#include <utility>

namespace merlinbridge::net {
namespace {

// In connect timeouts: how long a retired connection may still wait for answers. After a move, the old
// address closes its connections after a second and a half or later, which is past this bound.
constexpr int kRetireTimeouts = 4;

}  // namespace

CounterConnection::CounterConnection(EventLoop& loop, CounterConnectionOwner& owner,
                                     const CounterTimeouts& timeouts)
    : Connection(loop), owner_(owner), timeouts_(timeouts), lastHeardAt_(loop.now()) {}

// inUse -> retired -> closed, or inUse -> closed. No state is entered again.
void CounterConnection::enter(State next) {
  state_ = std::max(state_, next);
}

void CounterConnection::call(const CounterKey& key, std::string_view message) {
  const TimePoint now = loop_.now();
  if (calls_.empty()) lastHeardAt_ = now;
  const std::uint64_t number = firstCallNumber_ + calls_.size();
  const auto timeout =
      loop_.deadlines.add(now + timeouts_.call, [&loop = loop_, self = ref(), number](TimePoint at) {
        if (auto* const connection = loop.find<CounterConnection>(self)) connection->callTimedOut(at, number);
      });
  calls_.push_back({key, now, timeout, false});
  sendLater(message);
}

// The call stays in the queue, since its answer may still come and must be matched to it. A connection on
// which nothing at all comes is replaced. The owner is called last: it may make calls, but not on this
// connection once that has closed.
void CounterConnection::callTimedOut(TimePoint now, std::uint64_t number) {
  if (number < firstCallNumber_ || number - firstCallNumber_ >= calls_.size()) return;
  Call& pending = calls_[number - firstCallNumber_];
  if (std::exchange(pending.reported, true)) return;
  const Call call = pending;
  const CounterAnswer answer = answerMissing();
  if (!isUp() || now - lastHeardAt_ >= timeouts_.connect) onClosed();
  report(now, call, answer);
  if (isRetiredAndDone()) onClosed();
}

// Closing at once would let calls that the service has read end as lost, though they are added.
void CounterConnection::retire() {
  enter(State::retired);
  if (!isUp() || isRetiredAndDone()) return onClosed();
  loop_.deadlines.add(loop_.now() + kRetireTimeouts * timeouts_.connect,
                      [&loop = loop_, self = ref()](TimePoint) {
                        if (auto* const connection = loop.find<CounterConnection>(self))
                          connection->onClosed();
                      });
}

bool CounterConnection::isRetiredAndDone() const {
  return state_ == State::retired &&
         std::all_of(calls_.begin(), calls_.end(), [](const Call& call) { return call.reported; });
}

// A reported result may lead to further calls, which are appended to the buffer behind what was received:
// received() leaves them out.
void CounterConnection::onData() {
  lastHeardAt_ = loop_.now();
  while (isUp() && received() > 0)
    if (!readAnswer()) return;
}

// Reads one answer and reports it. Returns false if the answer is not complete yet or the connection has
// closed.
bool CounterConnection::readAnswer() {
  const auto stage = message_.advance(buffer_.data(), received());
  if (stage == http::Message::Stage::invalid || calls_.empty()) {
    onClosed();
    return false;
  }
  if (stage != http::Message::Stage::done) return false;
  const Call call = calls_.front();
  calls_.pop_front();
  ++firstCallNumber_;
  const CounterAnswer answer = readCounterAnswer(message_.status(), message_.body());
  const bool isLastAnswer = !message_.keepsAlive();
  buffer_.consume(message_.size());
  message_.clear();
  if (!call.reported) {
    loop_.deadlines.cancel(call.timeout);
    report(lastHeardAt_, call, answer);
  }
  if (!isLastAnswer && !isRetiredAndDone()) return true;
  onClosed();
  return false;
}

void CounterConnection::report(TimePoint now, const Call& call, const CounterAnswer& answer) {
  owner_.counterCallEnded(now, {call.key, answer.outcome, answer.total, now - call.startedAt});
}

// Nothing is written before the connection is up, and nothing after it has closed.
CounterAnswer CounterConnection::answerMissing() const {
  return {outcomeWithoutAnswer(isUp() ? CallDelivery::maybeWritten : CallDelivery::neverWritten), 0};
}

// The owner learns of the close first: calls that it makes for a reported result go to another connection.
void CounterConnection::onClosed() {
  if (state_ == State::closed) return;
  enter(State::closed);
  owner_.counterConnectionClosed(ref());
  const CounterAnswer answer = answerMissing();
  const std::deque<Call> calls = std::exchange(calls_, {});
  loop_.closeDeferred(ref());
  const TimePoint now = loop_.now();
  for (const Call& call : calls) {
    if (call.reported) continue;
    loop_.deadlines.cancel(call.timeout);
    report(now, call, answer);
  }
}

TimePoint CounterConnection::waitDeadline() const {
  if (!isUp()) return lastHeardAt_ + timeouts_.connect;
  return (calls_.empty() ? lastHeardAt_ : loop_.now()) + timeouts_.idle;
}

}  // namespace merlinbridge::net
