#include "net/discovery/discovery_schedule.hpp"

#include <algorithm>

namespace merlinbridge::net {
namespace {

// Mean pauses in heartbeat intervals: the maximum backoff after a rejection, and the pause between two polls
// that succeed. With these values a change is applied within 6 s, after which the gateway is expected to know
// it, even if two requests are rejected or one hangs before one succeeds. docs/event-races.md has the
// calculation.
constexpr double kMaxBackoffInHeartbeats = 0.5;
constexpr double kPollIntervalInHeartbeats = 0.75;
// The minimum backoff is the connect timeout divided by this; it applies if the drain grace is zero or short.
constexpr int kMinBackoffDivisor = 8;
// The backoff after a slow response, which has waited already, is that after a failure divided by this.
constexpr int kSlowBackoffDivisor = 2;
// The first backoff is one connect timeout. Each consecutive failure doubles it, at most this many times.
constexpr int kMaxBackoffDoublings = 8;
// While discovery rejects watches: polls between two requests for a watch.
constexpr int kPollsBetweenWatches = 3;
// In heartbeat intervals: well beyond the 6 s, so that the oldest of several slow responses is the one kept.
constexpr int kMaxSlowResponseAgeInHeartbeats = 8;
// Each slow response that gets too old doubles the age for the next one, at most this many times.
constexpr int kMaxSlowResponseDoublings = 8;
// Each pause is its mean times a random factor from kMinJitterFactor to kMinJitterFactor + 1.
constexpr double kMinJitterFactor = 0.5;

}  // namespace

DiscoverySchedule::DiscoverySchedule(Duration connectTimeout, Duration drainGrace, std::uint64_t seed)
    : connectTimeout_(connectTimeout), drainGrace_(drainGrace), random_(static_cast<std::uint32_t>(seed)) {}

// Pauses are random so that gateways which lost discovery at the same time do not send their requests at
// once. The one after a poll counts from its request, which is the state that its list holds.
Duration DiscoverySchedule::requestEnded(DiscoveryRequest request, DiscoveryOutcome outcome, Duration took) {
  if (request == DiscoveryRequest::poll) --pollsBeforeWatch_;
  recordRejection(request, outcome);
  const Duration mean = meanPauseAfter(outcome);
  const double factor = kMinJitterFactor + double(random_()) / double(random_.max());
  const Duration pause = scaled(mean, factor);
  return outcome == DiscoveryOutcome::updated ? std::max(scaled(minBackoff(), factor), pause - took) : pause;
}

void DiscoverySchedule::slowRequestEnded(DiscoveryRequest request, DiscoveryOutcome outcome) {
  recordRejection(request, outcome);
}

Duration DiscoverySchedule::maxSlowResponseAge() const {
  return kMaxSlowResponseAgeInHeartbeats * kHeartbeatInterval * (1 << slowResponsesTooOld_);
}

void DiscoverySchedule::slowResponseTooOld() {
  slowResponsesTooOld_ = std::min(slowResponsesTooOld_ + 1, kMaxSlowResponseDoublings);
}

void DiscoverySchedule::resetBackoff() {
  consecutiveFailures_ = 0;
  slowResponsesTooOld_ = 0;
}

void DiscoverySchedule::reset() {
  resetBackoff();
  pollsBeforeWatch_ = 0;
}

// After a watch that failed without a rejection the next request is a watch again: discovery may support
// watches.
void DiscoverySchedule::recordRejection(DiscoveryRequest request, DiscoveryOutcome outcome) {
  if (request == DiscoveryRequest::watch && outcome == DiscoveryOutcome::rejected)
    pollsBeforeWatch_ = kPollsBetweenWatches;
}

Duration DiscoverySchedule::meanPauseAfter(DiscoveryOutcome outcome) {
  if (outcome == DiscoveryOutcome::updated) return scaled(kHeartbeatInterval, kPollIntervalInHeartbeats);
  if (outcome == DiscoveryOutcome::slow)
    return std::max(minBackoff(), std::min(maxBackoff(outcome), connectTimeout_) / kSlowBackoffDivisor);
  const int doublings = std::min(consecutiveFailures_++, kMaxBackoffDoublings);
  return std::min(maxBackoff(outcome), connectTimeout_ * (1 << doublings));
}

// A discovery service that rejects requests is overloaded, so the backoff may grow to its maximum. One that
// does not respond may publish a change at any moment, and the time to apply that change counts from then.
// The backoff then stays well below the drain grace, within which a draining host must be noticed.
Duration DiscoverySchedule::maxBackoff(DiscoveryOutcome outcome) const {
  const Duration longest = scaled(kHeartbeatInterval, kMaxBackoffInHeartbeats);
  if (outcome == DiscoveryOutcome::rejected) return longest;
  return std::clamp(drainGrace_ / 2, minBackoff(), longest);
}

Duration DiscoverySchedule::minBackoff() const {
  return std::min(connectTimeout_ / kMinBackoffDivisor, scaled(kHeartbeatInterval, kMaxBackoffInHeartbeats));
}

}  // namespace merlinbridge::net
