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

/// Timeouts of a connection to the counter service.
struct CounterTimeouts {
  /// From a call to its response.
  Duration call{};
  /// To connect. A connection on which a call times out is also closed if no response ended for this long.
  Duration connect{};
  /// Without a call in flight.
  Duration idle{};
};

/// The result of one call.
struct CounterCallResult {
  CounterKey key;
  CounterCallOutcome outcome = CounterCallOutcome::unknown;
  double total = 0;     ///< Units counted under the key after the call; 0 unless the outcome is `ok`.
  Duration duration{};  ///< From the call to its end.
};

/// Receives the reports of CounterConnections. Both functions run on the event loop's strand. The
/// implementation must outlive its connections, and may start further calls from counterCallEnded().
class CounterConnectionOwner {
 public:
  virtual ~CounterConnectionOwner() = default;
  /// Called exactly once for each call.
  virtual void counterCallEnded(TimePoint now, const CounterCallResult&) = 0;
  /// The connection accepts no further calls. The results of its calls in flight follow.
  virtual void counterConnectionClosed(SlotRef connection) = 0;
};

/// One connection to the counter service. Calls are pipelined: a call is written without waiting for the
/// response to the previous one, and the responses come in the order of the calls. The event loop owns the
/// connection.
class CounterConnection final : public Connection {
 public:
  CounterConnection(EventLoop&, CounterConnectionOwner&, const CounterTimeouts&);

  /// Writes a call at the end of the turn, or once the connection is up. `message` is the whole HTTP request.
  void call(const CounterKey&, std::string_view message);
  /// Calls without a response, including those that have timed out.
  std::size_t callsInFlight() const { return calls_.size(); }
  /// Stops accepting calls. The connection closes once all its calls have ended, immediately if there are
  /// none, and after a fixed time in any case. Calls in flight may still be added and report their actual
  /// outcomes.
  void retire();

 private:
  enum class State {
    inUse,    ///< Accepts calls, even before it is connected.
    retired,  ///< Accepts no further calls; waits for the responses to those in flight.
    closed    ///< The object exists until the end of the turn.
  };
  struct Call {
    CounterKey key;
    TimePoint startedAt;
    core::DeadlineQueue::Handle timeout;
    bool reported = false;  ///< The owner has the result; a response that still comes is skipped.
  };

  void onData() override;
  void onClosed() override;
  bool expectsMore() const override { return responseMessage_.hasBegun(); }
  TimePoint waitDeadline() const override;
  void onTimeout() override { onClosed(); }

  void enter(State next);
  bool readResponse();
  void callTimedOut(TimePoint now, std::uint64_t number);
  void report(TimePoint now, const Call& call, const CounterResponse& response);
  CounterResponse noResponse() const;
  bool isRetiredAndDone() const;

  CounterConnectionOwner& owner_;
  const CounterTimeouts timeouts_;
  State state_ = State::inUse;
  http::Message responseMessage_{http::Message::Kind::response};
  std::deque<Call> calls_;
  std::uint64_t firstCallNumber_ = 0;  ///< Of calls_.front(), counted from the connection's first call.
  TimePoint lastResponseAt_;           ///< Or when a call started with no other in flight, if later.
};

}  // namespace merlinbridge::net
