#include "policy/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace merlinbridge::policy {
namespace {

/// A host in slow start is sent at most this fraction of the load that the settings allow.
constexpr double kBudgetSafetyFactor = 0.8;

/// Number of parts of the overload window. Each part has its own budget, set at its start.
constexpr double kBudgetsPerWindow = 2;

/// Requests of mean cost that all gateways together may always send to a host during an overload window, even
/// if no responses were observed.
constexpr double kMinBudgetRequests = 1.5;

/// Time constant, in seconds, of the units answered by ramped-up hosts.
constexpr double kThroughputDecaySeconds = 20;

/// Lower bound of the time, in seconds, for which this gateway counts as having observed those hosts.
constexpr double kMinObservedSeconds = 4.5;

/// Weight of one request in the smoothed mean cost of a request, 0 to 1.
constexpr double kMeanUnitsGain = 0.06;

}  // namespace

void SlowStart::add(HostId host) {
  if (host.value >= budgets_.size()) budgets_.resize(host.value + 1);
}

double SlowStart::rampFactor(HostId host) const {
  const PolicySettings& settings = context_.settings;
  const auto startedAt = hosts_.startedAt(host);
  if (!startedAt || settings.slowStartTime <= Duration{0}) return 1;
  const double age = seconds(context_.now - *startedAt) / seconds(settings.slowStartTime);
  return settings.startCapacity + (1 - settings.startCapacity) * std::clamp(age, 0.0, 1.0);
}

void SlowStart::countRampedUpHosts() {
  rampedUpHosts_ = 0;
  forEachHost(hosts_, [this](HostId host) {
    if (hosts_.serving(host) && !inSlowStart(host)) ++rampedUpHosts_;
  });
}

bool SlowStart::admits(HostId host, double units) {
  if (!inSlowStart(host)) return true;
  Budget& budget = budgets_[host.value];
  renewIfExpired(budget, host);
  if (budget.unitsLeft < units) {
    const bool admittedAtRandom = budget.unitsLeft > 0 && context_.random.bernoulli(budget.unitsLeft / units);
    budget.unitsLeft = admittedAtRandom ? units : std::min(budget.unitsLeft, 0.0);
  }
  return budget.unitsLeft >= units;
}

void SlowStart::renewIfExpired(Budget& budget, HostId host) const {
  if (context_.now < budget.endsAt) return;
  const double deficit = std::min(budget.unitsLeft, 0.0);
  budget.unitsLeft = deficit + budgetUnits(host);
  budget.endsAt = context_.now + scaled(context_.settings.overloadWindow, 1 / kBudgetsPerWindow);
}

double SlowStart::budgetUnits(HostId host) const {
  const PolicySettings& settings = context_.settings;
  const double observedSeconds = std::max(seconds(context_.now - context_.startedAt), kMinObservedSeconds);
  // Value of a decaying counter after a constant rate of 1 per second since the start of this process.
  const double decayedSeconds =
      kThroughputDecaySeconds * (1 - std::exp(-observedSeconds / kThroughputDecaySeconds));
  const double answeredUnits = rampedUpHostUnits_.read(context_.now, kThroughputDecaySeconds);
  const double rate = settings.overloadMultiple * rampFactor(host) * answeredUnits / decayedSeconds;
  const double minUnits = kMinBudgetRequests * meanUnits_ / settings.gateways;
  return std::max(minUnits, kBudgetSafetyFactor * rate * seconds(settings.overloadWindow)) /
         kBudgetsPerWindow;
}

void SlowStart::spend(HostId host, double units) {
  if (inSlowStart(host)) budgets_[host.value].unitsLeft -= units;
}

void SlowStart::recordResponse(HostId host, double units) {
  meanUnits_ += kMeanUnitsGain * (units - meanUnits_);
  if (inSlowStart(host)) return;
  rampedUpHostUnits_.add(context_.now, kThroughputDecaySeconds, units / std::max(1, rampedUpHosts_));
}

}  // namespace merlinbridge::policy
