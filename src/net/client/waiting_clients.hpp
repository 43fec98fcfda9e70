#pragma once

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// Estimates how long the clients that wait to be accepted have waited, and compares that with the time that
/// clients give the gateway to answer. ClientEviction reads from it when a stalled request has to give way.
///
/// Clients are accepted in the order in which they connected, so those that still wait arrived after the last
/// one that was accepted, and after the last moment at which none waited.
class WaitingClients {
 public:
  /// `longestDeadline`: the longest time that clients give for an answer; assumed until a request states one.
  explicit WaitingClients(Duration longestDeadline)
      : longestDeadline_(longestDeadline), statedDeadline_(longestDeadline) {}

  /// No client waits at `now`.
  void noneWaits(TimePoint now) { recordArrival(now); }
  /// A client was accepted whose newest bytes had arrived at `arrivedAt`.
  void accepted(TimePoint arrivedAt) { recordArrival(arrivedAt); }
  /// A sound request stated this time for its answer.
  void deadlineStated(Duration deadline);

  /// From when on the clients that wait have used up their share of the time for an answer. Before that,
  /// connections give way at their usual times.
  TimePoint overdueAt() const;
  /// How long a client must have sent nothing to be taken for stalled.
  Duration stallTime() const;

 private:
  void recordArrival(TimePoint arrivedAt);

  const Duration longestDeadline_;
  /// Follows shorter deadlines at once and longer ones slowly, so that it suits the short ones of a mix.
  Duration statedDeadline_;
  TimePoint firstArrivedAt_{};  ///< No client that waits arrived before.
};

}  // namespace merlinbridge::net
