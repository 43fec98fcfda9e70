#pragma once

#include <deque>
#include <variant>

#include "policy_api/decision_engine.hpp"

namespace merlinbridge::core {

/// The client was found to be disconnected while the engine was starting an attempt for its request.
struct ClientDisconnected {
  RequestId requestId;
};
/// The client's state was found to be unknown while the engine was starting an attempt for its request.
struct ClientStateUnknown {
  RequestId requestId;
};
/// An attempt ended while the engine was still starting it.
struct AttemptEndedImmediately {
  RequestId requestId;
  AttemptNumber attemptNumber;
  Outcome outcome;
};
/// An attempt that the core will abandon. It ends with `outcome`, or as Outcome::notSent if it is still
/// unsent.
struct AttemptToAbandon {
  RequestId requestId;
  AttemptNumber attemptNumber;
  Outcome outcome;
};

/// An event that occurs while the decision engine handles an input, and that the engine may be told of only
/// after it has handled that input.
using DeferredEvent =
    std::variant<ClientDisconnected, ClientStateUnknown, AttemptEndedImmediately, AttemptToAbandon>;

/// A first-in, first-out queue of deferred events. Its length is bounded by the number of attempts in flight,
/// which the engine limits. Not thread-safe.
class DeferredEvents {
 public:
  void add(DeferredEvent event) { events_.push_back(event); }
  /// Calls `handler(event)` for each event until none is left; the handler may add events. A nested call from
  /// the handler returns immediately, and the outer call handles the remaining events.
  template <class Handler>
  void drain(Handler handler) {
    if (draining_) return;
    draining_ = true;
    while (!events_.empty()) {
      const DeferredEvent next = events_.front();
      events_.pop_front();
      std::visit(handler, next);
    }
    draining_ = false;
  }

 private:
  std::deque<DeferredEvent> events_;
  bool draining_ = false;
};

}  // namespace merlinbridge::core
