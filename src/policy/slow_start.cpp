#include "policy/slow_start.hpp"

#include <algorithm>
#include <cmath>

namespace merlinbridge::policy {
namespace {

/// Fraction that is used of what the settings allow a host that warms up.
constexpr double kBudgetSafetyFactor = 0.8;

/// Parts of the overload window; each is granted its budget at its start.
constexpr double kBudgetsPerWindow = 2;

/// Requests of mean cost that all gateways together may send a host in an overload window, whatever was seen.
constexpr double kMinBudgetRequests = 1.5;

/// Time constant, in seconds, of what hosts that have ramped up are seen to answer.
constexpr double kThroughputDecaySeconds = 20;

/// Seconds that this gateway is taken to have observed those hosts for at least.
constexpr double kMinObservedSeconds = 4.5;

/// Weight of one request in the mean cost of a request, 0 to 1.
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
  // What a decaying counter sums up of a steady rate of 1 per second since the start of this process.
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
