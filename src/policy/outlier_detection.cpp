#include "policy/outlier_detection.hpp"

#include <algorithm>
#include <cmath>

#include "policy/count_slot.hpp"

namespace merlinbridge::policy {
namespace {

/// Duration of the first ejection of an unreachable host, in connect timeouts. Doubles with each consecutive
/// failure.
constexpr double kFirstEjectionTimeouts = 4.0;

/// The longest ejection of an unreachable host, as a multiple of the first.
constexpr double kMaxEjectionFactor = 32.0;

/// The duration of an ejection is multiplied by a random factor between this value and this value plus 1, so
/// that gateways do not retry the host at the same time.
constexpr double kMinJitterFactor = 0.5;

}  // namespace

void OutlierDetection::add(HostId host) {
  if (host.value < ejectedUntil_.size()) return;
  ejectedUntil_.resize(host.value + 1);
  consecutiveFailures_.resize(host.value + 1);
}

void OutlierDetection::reset(HostId host) {
  ejectedUntil_[host.value] = TimePoint{};
  consecutiveFailures_[host.value] = 0;
}

void OutlierDetection::recordUnreachable(HostId host) {
  int& failures = consecutiveFailures_[host.value];
  const double backoff = std::min(kMaxEjectionFactor, std::exp2(failures));
  ++failures;
  const double factor = backoff * (kMinJitterFactor + context_.random.uniform01());
  eject(host, scaled(context_.settings.connectTimeout, kFirstEjectionTimeouts * factor));
}

void OutlierDetection::recordResponse(HostId host) {
  consecutiveFailures_[host.value] = 0;
}

void OutlierDetection::recordLoad(HostId host, const UsableLoad& load, const Method& method) {
  const double responsesInTime = load.responsesPerSecond * seconds(method.softDeadline);
  if (load.queued <= 0 || load.inFlight <= responsesInTime) return;
  const double responsesToWaitFor = std::max(load.inFlight, double(context_.settings.gateways));
  const double longest = seconds(countRetention());
  eject(host, durationFromSeconds(std::min(longest, responsesToWaitFor / load.responsesPerSecond)));
}

void OutlierDetection::eject(HostId host, Duration duration) {
  TimePoint& until = ejectedUntil_[host.value];
  until = std::max(until, context_.now + duration);
}

}  // namespace merlinbridge::policy
