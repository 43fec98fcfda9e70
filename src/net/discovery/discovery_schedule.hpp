#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// While nothing changes, discovery sends an empty line on a watch this often: its protocol's heartbeat.
inline constexpr Duration kHeartbeatInterval = std::chrono::seconds(2);

/// The two ways to get the endpoint list from discovery.
enum class DiscoveryRequest {
  watch,  ///< A response without end, with every change.
  poll    ///< The whole list, once; for as long as discovery rejects watches.
};

/// How a request to discovery ended.
enum class DiscoveryOutcome {
  updated,   ///< A poll's endpoint list was applied.
  rejected,  ///< Discovery answered with a status other than 200.
  failed     ///< Anything else: not connected, timed out, closed, or not readable. Every watch ends so.
};

/// Decides what the next request to discovery is, and after which pause it is sent. It decides from how the
/// requests before ended, and makes one random draw for each pause.
class DiscoverySchedule {
 public:
  /// `drainGrace`: how long a host that drains still takes requests; a change must be known well within it.
  /// `seed`: of the random draws.
  DiscoverySchedule(Duration connectTimeout, Duration drainGrace, std::uint64_t seed);

  /// What to send next.
  DiscoveryRequest nextRequest() const {
    return pollsBeforeWatch_ == 0 ? DiscoveryRequest::watch : DiscoveryRequest::poll;
  }
  /// The request that nextRequest() named has ended. Returns the pause before the next one.
  Duration requestEnded(DiscoveryOutcome);
  /// Discovery has sent a list or a heartbeat: the next failure counts as the first in a row.
  void resetBackoff() { consecutiveFailures_ = 0; }
  /// Starts afresh, for a new address: a watch is next.
  void reset();

 private:
  void recordOutcome(DiscoveryOutcome);
  Duration meanPauseAfter(DiscoveryOutcome);
  Duration maxBackoff(DiscoveryOutcome) const;

  const Duration connectTimeout_;
  const Duration drainGrace_;
  int consecutiveFailures_ = 0;
  int pollsBeforeWatch_ = 0;
  std::ranlux24_base random_;
};

}  // namespace merlinbridge::net
