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
  failed     ///< Not connected, timed out, closed or invalid. An accepted watch always ends so.
};

/// Chooses the next request to discovery and the pause before it, from the outcomes of the previous requests.
/// Each pause uses one random number.
class DiscoverySchedule {
 public:
  /// `drainGrace`: how long a draining host still accepts requests; changes must arrive well within it.
  /// `seed`: of the random number generator.
  DiscoverySchedule(Duration connectTimeout, Duration drainGrace, std::uint64_t seed);

  /// The request to send next.
  DiscoveryRequest nextRequest() const {
    return pollsBeforeWatch_ == 0 ? DiscoveryRequest::watch : DiscoveryRequest::poll;
  }
  /// The request that nextRequest() returned has ended. Returns the pause before the next one.
  Duration requestEnded(DiscoveryOutcome);
  /// Discovery has sent a list or a heartbeat: the next failure is the first of a new series.
  void resetBackoff() { consecutiveFailures_ = 0; }
  /// Forgets all previous outcomes, for a new address: a watch is next.
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
