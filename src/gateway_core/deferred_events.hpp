#pragma once

#include <deque>
#include <variant>

#include "policy_api/decision_engine.hpp"

namespace merlinbridge::core {

/// A client was found to be gone while the engine was starting an attempt for its request.
struct ClientDisconnected {
  RequestId requestId;
};
/// An attempt ended at once, while the engine was starting it.
struct AttemptEndedImmediately {
  RequestId requestId;
  AttemptNumber attemptNumber;
  Outcome outcome;
};
/// An attempt is to be given up, with that outcome unless it turns out to be unsent.
struct AttemptToAbandon {
  RequestId requestId;
  AttemptNumber attemptNumber;
  Outcome outcome;
};

/// What the core learns while the decision engine handles an input, and may tell the engine only afterwards.
using DeferredEvent = std::variant<ClientDisconnected, AttemptEndedImmediately, AttemptToAbandon>;

/// The deferred events, first in, first out. Bounded by the attempts in flight, which the engine limits. Not
/// thread-safe.
class DeferredEvents {
 public:
  void add(DeferredEvent event) { events_.push_back(event); }
  /// Calls `handler(event)` for each event until none is left; the handler may add events. A call from within
  /// the handler returns at once: the outer one goes on with the events.
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
