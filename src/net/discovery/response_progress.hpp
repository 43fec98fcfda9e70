#pragma once

#include <cstdint>

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// Follows how a response from discovery arrives, part by part: its head, then each list. Tells three faults
/// apart: a *slow* part is late but makes progress, a *silent* one receives nothing, and a *stuck* one
/// receives bytes, such as heartbeats, that do not bring its end nearer. The last two look alike here.
/// Without I/O and without a clock.
class ResponseProgress {
 public:
  /// `timeout`: how long a part may take, and how long the response may make no progress.
  ResponseProgress(Duration timeout, TimePoint now) : timeout_(timeout), startedAt_(now), lastAt_(now) {}

  /// A part has begun. `alreadyTaken` is counted as if the part had begun that much earlier.
  void beginPart(TimePoint now, Duration alreadyTaken = Duration{0}) {
    isPartOpen_ = true;
    isSlow_ = false;
    startedAt_ = now - alreadyTaken;
    lastAt_ = now;
  }
  /// The part that is being received has come nearer to its end. Between two parts: anything was received.
  void advance(TimePoint now) { lastAt_ = now; }
  /// The part has ended; the response is idle until the next one begins.
  void endPart(TimePoint now) {
    isPartOpen_ = false;
    isSlow_ = false;
    lastAt_ = now;
  }
  /// The part is late. From now on it may take any time as long as it makes progress.
  void markSlow() { isSlow_ = true; }

  /// When the present or last part began.
  TimePoint partStartedAt() const { return startedAt_; }
  /// How long no progress has been made.
  Duration timeWithoutProgress(TimePoint now) const { return now - lastAt_; }
  /// Returns true if the response has made no progress for the whole timeout: it is silent or stuck.
  bool hasStopped(TimePoint now) const { return timeWithoutProgress(now) >= timeout_; }
  /// When to look again: the part is late, or the response has stopped.
  TimePoint deadline() const { return (isPartOpen_ && !isSlow_ ? startedAt_ : lastAt_) + timeout_; }

 private:
  const Duration timeout_;
  bool isPartOpen_ = false;
  bool isSlow_ = false;
  TimePoint startedAt_;
  TimePoint lastAt_;  ///< Of the last progress.
};

}  // namespace merlinbridge::net
