#include "util/call_pacer.hpp"

#include <algorithm>

namespace merlinbridge::util {

CallPacer::CallPacer(double callsPerPeriod, TimePoint now)
    : callsPerPeriod_(callsPerPeriod), refilledAt_(now) {}

void CallPacer::raise(double calls, double maxPace) {
  callsPerPeriod_ = std::min(callsPerPeriod_ + calls, maxPace);
}

void CallPacer::cut(double factor, double minPace, TimePoint now, Duration period) {
  if (now < cutAt_ + period) return;
  callsPerPeriod_ = std::max(callsPerPeriod_ * factor, minPace);
  cutAt_ = now;
}

void CallPacer::refill(TimePoint now, double periodSeconds) {
  const double gained = callsPerPeriod_ * seconds(now - refilledAt_) / periodSeconds;
  const double capacity = std::max(1.0, callsPerPeriod_);
  tokens_ = std::min(capacity, tokens_ + gained);
  refilledAt_ = now;
}

void CallPacer::start() {
  tokens_ -= 1;
}

Duration CallPacer::untilNext(double periodSeconds) const {
  const Duration untilToken = durationFromSeconds((1 - tokens_) * periodSeconds / callsPerPeriod_);
  return std::max(Duration{1}, untilToken);
}

}  // namespace merlinbridge::util
