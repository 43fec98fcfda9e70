#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

#include "gateway_core/deadline_queue.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"
#include "net/counter/counter_outcome.hpp"

namespace merlinbridge::net {

/// Bounds on the waits of a connection to the counter service.
struct CounterTimeouts {
  Duration call{};     ///< From a call to its answer.
  Duration connect{};  ///< To dial; also the silence after which a connection with a late answer is replaced.
  Duration idle{};     ///< Without a call on the connection.
};

/// How one call ended.
struct CounterCallResult {
  CounterKey key;
  CounterCallOutcome outcome = CounterCallOutcome::unknown;
  double total = 0;  ///< Units counted under the key after the call; 0 unless the outcome is `ok`.
  Duration took{};   ///< From the call to its end.
};

/// What a CounterConnection reports to. Both functions run on the event loop's strand. The implementation
/// outlives its connections, and may make further calls from counterCallEnded().
class CounterConnectionOwner {
 public:
  virtual ~CounterConnectionOwner() = default;
  /// Runs exactly once for each call.
  virtual void counterCallEnded(TimePoint now, const CounterCallResult&) = 0;
  /// The connection takes no calls any more. The results of calls still on it follow.
  virtual void counterConnectionClosed(SlotRef connection) = 0;
};

/// One connection to the counter service. Calls are pipelined: they are written one after another, and their
/// answers come in the same order. The event loop owns the connection.
class CounterConnection final : public Connection {
 public:
  CounterConnection(EventLoop&, CounterConnectionOwner&, const CounterTimeouts&);

  /// Writes a call at the end of the turn, or once the connection is up. `message`: the whole HTTP request.
  void call(const CounterKey&, std::string_view message);
  /// Calls that have had no answer yet, those that have timed out included.
  std::size_t callsInFlight() const { return calls_.size(); }
  /// Takes no further calls. The connection closes when those on it have ended, at once if none is, and after
  /// a bound in any case. Calls on it keep the outcomes of the protocol: they may still be added.
  void retire();

 private:
  enum class State {
    inUse,    ///< Takes calls, be it connected yet or not.
    retired,  ///< Takes no further calls; waits for the answers to those in flight.
    closed    ///< Closed; the object lives to the end of the turn.
  };
  struct Call {
    CounterKey key;
    TimePoint startedAt;
    core::DeadlineQueue::Handle timeout;
    bool reported = false;  ///< The owner has its result; its answer has yet to be read past.
  };

  void onData() override;
  void onClosed() override;
  bool expectsMore() const override { return message_.hasBegun(); }
  TimePoint waitDeadline() const override;
  void onTimeout() override { onClosed(); }

  void enter(State next);
  bool readAnswer();
  void callTimedOut(TimePoint now, std::uint64_t number);
  void report(TimePoint now, const Call& call, const CounterAnswer& answer);
  CounterAnswer answerMissing() const;
  bool isRetiredAndDone() const;

  CounterConnectionOwner& owner_;
  const CounterTimeouts timeouts_;
  State state_ = State::inUse;
  http::Message message_{http::Message::Kind::response};
  std::deque<Call> calls_;
  std::uint64_t firstCallNumber_ = 0;  ///< Of calls_.front(), counted from the connection's first call.
  TimePoint lastHeardAt_;              ///< Last byte received; the first call's time if none was in flight.
};

}  // namespace merlinbridge::net
