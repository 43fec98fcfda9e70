#include "net/discovery/discovery_schedule.hpp"

#include <algorithm>

namespace merlinbridge::net {
namespace {

// Mean pauses, in heartbeat intervals: the longest backoff after a rejection, and how long a polled list is
// used before the next poll. With two rejections, or one request that hangs, before a request that is
// answered, a change is known within the 6 s after which it counts as notified; docs/event-races.md has the
// sum.
constexpr double kMaxBackoffInHeartbeats = 0.5;
constexpr double kPollIntervalInHeartbeats = 0.75;
// The least backoff, as a part of the connect timeout, for settings whose drain grace is zero.
constexpr int kMinBackoffDivisor = 8;
// The first backoff is one connect timeout; each failure in a row doubles it, at most this often.
constexpr int kMaxBackoffDoublings = 8;
// While discovery rejects watches: polls between one request for a watch and the next.
constexpr int kPollsBetweenWatches = 3;
// Each pause is its mean times a factor drawn from kMinJitterFactor to kMinJitterFactor + 1.
constexpr double kMinJitterFactor = 0.5;

}  // namespace

DiscoverySchedule::DiscoverySchedule(Duration connectTimeout, Duration drainGrace, std::uint64_t seed)
    : connectTimeout_(connectTimeout), drainGrace_(drainGrace), random_(static_cast<std::uint32_t>(seed)) {}

// Pauses are drawn, so that many gateways that lost discovery together do not ask it again in step.
Duration DiscoverySchedule::requestEnded(DiscoveryOutcome outcome) {
  recordOutcome(outcome);
  const Duration mean = meanPauseAfter(outcome);
  const double factor = kMinJitterFactor + double(random_()) / double(random_.max());
  return scaled(mean, factor);
}

void DiscoverySchedule::reset() {
  consecutiveFailures_ = 0;
  pollsBeforeWatch_ = 0;
}

// A watch that ended other than by rejection is asked for again at once: discovery may serve watches.
void DiscoverySchedule::recordOutcome(DiscoveryOutcome outcome) {
  if (nextRequest() == DiscoveryRequest::poll)
    --pollsBeforeWatch_;
  else if (outcome == DiscoveryOutcome::rejected)
    pollsBeforeWatch_ = kPollsBetweenWatches;
}

Duration DiscoverySchedule::meanPauseAfter(DiscoveryOutcome outcome) {
  if (outcome == DiscoveryOutcome::updated) return scaled(kHeartbeatInterval, kPollIntervalInHeartbeats);
  const int doublings = std::min(consecutiveFailures_++, kMaxBackoffDoublings);
  return std::min(maxBackoff(outcome), connectTimeout_ * (1 << doublings));
}

// A discovery that rejects requests is overloaded and may be given more time. One that does not answer may
// record a change the moment after, and that change counts as notified: then the backoff stays well under the
// time in which a host's drain has to be noticed.
Duration DiscoverySchedule::maxBackoff(DiscoveryOutcome outcome) const {
  const Duration longest = scaled(kHeartbeatInterval, kMaxBackoffInHeartbeats);
  if (outcome == DiscoveryOutcome::rejected) return longest;
  return std::clamp(drainGrace_ / 2, std::min(connectTimeout_ / kMinBackoffDivisor, longest), longest);
}

}  // namespace merlinbridge::net
