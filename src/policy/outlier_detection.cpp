#include "policy/outlier_detection.hpp"

#include <algorithm>
#include <cmath>

#include "policy/count_slot.hpp"

namespace merlinbridge::policy {
namespace {

constexpr double kEjectionTimeouts = 4.0;    // first ejection of an unreachable host, in connect timeouts
constexpr double kMaxEjectionFactor = 32.0;  // of that: the ejection doubles at each failure in a row
constexpr double kMinJitter = 0.5;           // the ejection is drawn from 0.5 to 1.5 of its length
constexpr double kMinRate = 1e-3;            // answers per second

}  // namespace

void OutlierDetection::recordUnreachable(HostId host) {
  const double backoff = std::min(kMaxEjectionFactor, std::exp2(unreachableInRow_[host.value]++));
  const double factor = backoff * (kMinJitter + context_.random.uniform01());
  eject(host, scaled(context_.settings.connectTimeout, kEjectionTimeouts * factor));
}

void OutlierDetection::recordLoad(HostId host, const LoadReport& load, const Method& method) {
  const double held = std::max(0.0, *load.inFlight), rate = std::max(kMinRate, *load.answersPerSecond);
  if (load.queued.value_or(0) <= 0 || held <= rate * seconds(method.softDeadline)) return;
  const double turns = std::max(held, double(context_.settings.gateways));
  eject(host, durationOf(std::min(seconds(countRetention()), turns / rate)));
}

}  // namespace merlinbridge::policy
