#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// The interval of heartbeats: discovery sends an empty line on a watch this often while nothing changes.
inline constexpr Duration kHeartbeatInterval = std::chrono::seconds(2);

/// The two ways to request the endpoint list from discovery.
enum class DiscoveryRequest {
  watch,  ///< A response that stays open and delivers every change.
  poll    ///< The complete list, once; used while discovery rejects watches.
};

/// How a request to discovery ended.
enum class DiscoveryOutcome {
  updated,   ///< A poll's endpoint list was applied.
  rejected,  ///< Discovery answered with a status other than 200.
  slow,      ///< Not complete in time but making progress. The response may be read on during later requests.
  failed     ///< Not connected, timed out, closed or invalid. An accepted watch always ends so.
};

/// Chooses the next request to discovery and the pause before it, from the outcomes of the previous requests.
/// Each pause uses one random number.
///
/// A request that is slow counts as ended: the next one is sent after a pause as if it had failed, because a
/// response that makes progress may still never become a list.
class DiscoverySchedule {
 public:
  /// `drainGrace`: how long a draining host still accepts requests; changes must arrive well within it.
  /// `seed`: of the random number generator.
  DiscoverySchedule(Duration connectTimeout, Duration drainGrace, std::uint64_t seed);

  /// The request to send next.
  DiscoveryRequest nextRequest() const {
    return pollsBeforeWatch_ == 0 ? DiscoveryRequest::watch : DiscoveryRequest::poll;
  }
  /// A request of this kind has ended after the time `took`. Returns the pause before the next one.
  Duration requestEnded(DiscoveryRequest, DiscoveryOutcome, Duration took);
  /// A request that had ended as `slow` has ended now. The next one stays due as it is.
  void slowRequestEnded(DiscoveryRequest, DiscoveryOutcome);
  /// How long one response may be read on while newer requests find discovery slow, too.
  Duration maxSlowResponseAge() const;
  /// A slow response has reached that age: the next one may take twice as long, so that a list arrives at
  /// last however long it takes.
  void slowResponseTooOld();
  /// Discovery has sent a list or a heartbeat: the next failure is the first of a new series.
  void resetBackoff();
  /// Forgets all previous outcomes, for a new address: a watch is next.
  void reset();

 private:
  void recordRejection(DiscoveryRequest, DiscoveryOutcome);
  Duration meanPauseAfter(DiscoveryOutcome);
  Duration maxBackoff(DiscoveryOutcome) const;
  Duration minBackoff() const;

  const Duration connectTimeout_;
  const Duration drainGrace_;
  int consecutiveFailures_ = 0;
  int slowResponsesTooOld_ = 0;
  int pollsBeforeWatch_ = 0;
  std::ranlux24_base random_;
};

}  // namespace merlinbridge::net
