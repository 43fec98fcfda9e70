#include "policy_invariant_checker.hpp"

#include <algorithm>

namespace merlinbridge::testing {

namespace {

constexpr double kRoundingTolerance = 1e-6;  // units

}  // namespace

PolicyInvariantChecker::PolicyInvariantChecker(const PolicySettings& settings,
                                               std::vector<SimulatedHost>& hosts)
    : settings_(settings), hosts_(hosts) {}

const Method& PolicyInvariantChecker::methodOf(const SimulatedRequest& request) const {
  return settings_.methods[request.request.method.value];
}

void PolicyInvariantChecker::attemptStarted(const SimulatedRequest& request, HostId host, TimePoint now,
                                            TimePoint writeBy) {
  SimulatedHost& target = hosts_[host.value];
  checkAttemptLimits(request);
  checkRepetition(request, host, now, writeBy);
  if (!target.serving) violations.insert("an attempt to a host that is draining or removed");
  if (request.attemptsStarted == 0) checkHardCeiling(request, now);
  if (target.startedAt) checkSlowStart(target, request.request.units, now);
}

void PolicyInvariantChecker::checkAttemptLimits(const SimulatedRequest& request) {
  if (request.finalAnswers > 0) violations.insert("an attempt after the final answer");
  if (request.attemptsInFlight > 0 && !settings_.allowHedging)
    violations.insert("two attempts in flight without hedging");
  if (request.attemptsStarted >= settings_.maxAttempts) violations.insert("too many attempts");
}

void PolicyInvariantChecker::checkRepetition(const SimulatedRequest& request, HostId host, TimePoint now,
                                             TimePoint writeBy) {
  const Method& method = methodOf(request);
  if (!request.possibleExecutions.empty() && method.idempotency == Idempotency::nonIdempotent)
    violations.insert("a second execution of a non-idempotent request");
  if (method.idempotency != Idempotency::deduplicated) return;
  for (const auto& [previousHost, startedAt] : request.possibleExecutions) {
    if (method.deduplicationScope == DeduplicationScope::zone &&
        hosts_[previousHost.value].zone != hosts_[host.value].zone)
      violations.insert("a repeat outside the deduplication scope");
    if (now > startedAt + method.deduplicationWindow)
      violations.insert("a repeat after the deduplication window");
    if (writeBy > startedAt + method.deduplicationWindow)
      violations.insert("a repeat that may be written after the deduplication window");
  }
}

void PolicyInvariantChecker::checkHardCeiling(const SimulatedRequest& request, TimePoint now) {
  const Plan& plan = settings_.plans[request.request.plan.value];
  if (plan.ceilingRate <= 0) return;
  const CeilingBucket full{plan.ceilingBurst, now};
  CeilingBucket& bucket = ceilings_.try_emplace(request.request.customer.value, full).first->second;
  const double refilled = bucket.level + plan.ceilingRate * seconds(now - bucket.updatedAt);
  bucket.level = std::min(plan.ceilingBurst, refilled) - request.request.units;
  bucket.updatedAt = now;
  if (bucket.level < -plan.ceilingSlack - kRoundingTolerance)
    violations.insert("a hard ceiling was exceeded");
}

void PolicyInvariantChecker::checkSlowStart(SimulatedHost& host, double units, TimePoint now) {
  const double rampFactor = std::min(1.0, seconds(now - *host.startedAt) / seconds(settings_.slowStartTime));
  host.recentWork.emplace_back(now, units);
  while (host.recentWork.front().first + settings_.overloadWindow < now) host.recentWork.pop_front();
  double unitsInWindow = 0;
  for (const auto& [startedAt, attemptUnits] : host.recentWork) unitsInWindow += attemptUnits;
  const double capacity =
      host.unitsPerSecond * (settings_.startCapacity + (1 - settings_.startCapacity) * rampFactor);
  if (unitsInWindow > settings_.overloadMultiple * capacity * seconds(settings_.overloadWindow))
    violations.insert("a host in slow start was overloaded");
}

void PolicyInvariantChecker::requestAnswered(SimulatedRequest& request, FinalAnswer answer, TimePoint now) {
  const Method& method = methodOf(request);
  const bool rejected = answer == FinalAnswer::rejected;
  if (++request.finalAnswers > 1) violations.insert("two final answers");
  request.answeredAt = now;
  request.rejected = rejected;
  const bool mayHaveRun = !request.possibleExecutions.empty() || request.attemptsInFlight > 0;
  const bool mustNotRunAgain = method.idempotency == Idempotency::nonIdempotent ||
                               (method.idempotency == Idempotency::deduplicated &&
                                method.deduplicationScope != DeduplicationScope::all);
  if (rejected && mayHaveRun && mustNotRunAgain)
    violations.insert("a rejection though the request may have run");
}

void PolicyInvariantChecker::checkAnswered(const SimulatedRequest& request) {
  if (request.finalAnswers == 0) violations.insert("a request was not answered in time");
}

}  // namespace merlinbridge::testing
