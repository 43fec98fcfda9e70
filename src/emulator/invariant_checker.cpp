#include "emulator/invariant_checker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace merlinbridge::emulator {
namespace {

// Only this many violations of each invariant are recorded with a description; all are counted.
constexpr std::uint64_t kMaxDescribedPerRule = 5;
constexpr Duration kCeilingWindow = std::chrono::seconds(10);
// Tolerance for floating-point error in quota units; well below the units of any request.
constexpr double kRoundingTolerance = 1e-6;

}  // namespace

std::string_view wordOf(Invariant rule) {
  static constexpr std::string_view kWords[] = {"lost", "duplicate", "drain", "slow_start", "ceiling"};
  return kWords[static_cast<std::size_t>(rule)];
}

InvariantChecker::InvariantChecker(const Scenario& scenario) : scenario_(scenario) {
  double share = 0;
  double work = 0;
  for (const ScenarioMethod& method : scenario.methods) {
    share += method.share;
    work += method.share * seconds(method.work);
  }
  if (share <= 0 || work <= 0) return;
  meanWork_ = work / share;
  capacity_ = scenario.cores / meanWork_;
}

InvariantChecker::OpenRequest* InvariantChecker::find(ClientAttemptId attemptId) {
  const auto at = open_.find(attemptId.value);
  return at == open_.end() ? nullptr : &at->second;
}

void InvariantChecker::close(ClientAttemptId attemptId) {
  const OpenRequest* const open = find(attemptId);
  if (open && (open->answered || open->clientDisconnected) &&
      std::none_of(open->attempts.begin(), open->attempts.end(),
                   [](const Attempt& attempt) { return attempt.inProgress; }))
    open_.erase(attemptId.value);
}

void InvariantChecker::violation(TimePoint at, Invariant rule, ClientAttemptId attemptId, std::string what) {
  if (counts_[static_cast<std::size_t>(rule)]++ < kMaxDescribedPerRule)
    firstViolations_.push_back({at, rule, attemptId, std::move(what)});
}

std::uint64_t InvariantChecker::violationCount() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t count : counts_) sum += count;
  return sum;
}

// ---- clients: exactly one complete answer within the deadline ----

// The gateway is not to blame for a request that arrives after its deadline: the answer slack then counts
// from its arrival.
void InvariantChecker::requestReceived(TimePoint now, ClientAttemptId attemptId,
                                       const ReceivedRequest& request) {
  OpenRequest& open =
      open_.emplace(attemptId.value, OpenRequest{request, {}, false, false, false}).first->second;
  open.request.deadline = std::max(request.deadline, now);
}

void InvariantChecker::clientDisconnected(TimePoint now, ClientAttemptId attemptId) {
  OpenRequest* const open = find(attemptId);
  if (!open) return;
  if (!open->answered && !open->clientDisconnected && now > open->request.deadline + scenario_.answerSlack)
    violation(now, Invariant::lost, attemptId, "request was never answered");
  open->clientDisconnected = true;
  close(attemptId);
}

void InvariantChecker::requestAnswered(TimePoint now, ClientAttemptId attemptId, Answer how) {
  OpenRequest* const open = find(attemptId);
  if (!open)
    return violation(now, Invariant::lost, attemptId,
                     "answer to a request that is unknown or already closed");
  if (open->answered) return violation(now, Invariant::lost, attemptId, "more than one final answer");
  open->answered = true;
  if (!open->clientDisconnected && now > open->request.deadline + scenario_.answerSlack)
    violation(now, Invariant::lost, attemptId,
              fmt::format("answered {:.3f} s after its deadline", seconds(now - open->request.deadline)));
  const bool served = std::any_of(open->attempts.begin(), open->attempts.end(),
                                  [](const Attempt& attempt) { return attempt.served; });
  if (how == Answer::ok && !served)
    violation(now, Invariant::lost, attemptId, "success answered without a response from any host");
  if (how == Answer::rejected && mayHaveRun(*open)) {
    const ScenarioMethod& method = scenario_.methods[open->request.method];
    if (method.idempotency == Idempotency::nonIdempotent ||
        (method.idempotency == Idempotency::deduplicated &&
         method.deduplicationScope != DeduplicationScope::all))
      violation(now, Invariant::duplicate, attemptId, "rejected although the request may have run");
  }
  close(attemptId);
}

// Clients resend the requests of a gateway that died; losing them is no decision of the gateway.
void InvariantChecker::gatewayDied(TimePoint, GatewayNumber gateway) {
  std::erase_if(open_, [gateway](const auto& at) { return at.second.request.gateway == gateway; });
  notServing_.erase(notServing_.lower_bound({gateway.value, 0}),
                    notServing_.lower_bound({gateway.value + 1, 0}));
}

void InvariantChecker::finish(TimePoint now) {
  std::vector<std::uint64_t> late;
  for (const auto& [attemptId, open] : open_)
    if (!open.answered && !open.clientDisconnected && now > open.request.deadline + scenario_.answerSlack)
      late.push_back(attemptId);
  std::sort(late.begin(), late.end());
  for (const std::uint64_t attemptId : late)
    violation(now, Invariant::lost, {attemptId}, "request was never answered");
}

// ---- hosts: no request is executed twice ----

bool InvariantChecker::mayHaveRun(const OpenRequest& open) const {
  return std::any_of(open.attempts.begin(), open.attempts.end(),
                     [](const Attempt& attempt) { return !attempt.provenNotRun; });
}

bool InvariantChecker::isRepeatAllowed(TimePoint now, const OpenRequest& open, std::uint32_t zone,
                                       std::int64_t cell) const {
  const ScenarioMethod& method = scenario_.methods[open.request.method];
  if (method.idempotency == Idempotency::idempotent) return true;
  return std::all_of(open.attempts.begin(), open.attempts.end(), [&](const Attempt& attempt) {
    if (attempt.provenNotRun) return true;
    if (method.idempotency == Idempotency::nonIdempotent ||
        now >= attempt.sentAt + method.deduplicationWindow)
      return false;
    return method.deduplicationScope == DeduplicationScope::all ||
           (method.deduplicationScope == DeduplicationScope::zone ? attempt.zone == zone
                                                                  : attempt.cell == cell);
  });
}

void InvariantChecker::attemptStarted(TimePoint now, ClientAttemptId attemptId, std::uint32_t attemptNumber,
                                      HostNumber host, std::uint32_t zone, std::int64_t cell) {
  OpenRequest* const open = find(attemptId);
  if (!open)
    return violation(now, Invariant::lost, attemptId, "attempt started for an unknown or closed request");
  if (open->answered) violation(now, Invariant::lost, attemptId, "attempt started after the final answer");
  if (!isRepeatAllowed(now, *open, zone, cell))
    violation(now, Invariant::duplicate, attemptId,
              fmt::format("attempt {} started although an earlier one may have run", attemptNumber));
  if (!scenario_.allowHedging && std::any_of(open->attempts.begin(), open->attempts.end(),
                                             [](const Attempt& attempt) { return attempt.inProgress; }))
    violation(now, Invariant::duplicate, attemptId,
              fmt::format("attempt {} started while another is in progress", attemptNumber));
  if (const auto at = notServing_.find({open->request.gateway.value, host.value});
      at != notServing_.end() && now > at->second + scenario_.drainGrace)
    violation(now, Invariant::drain, attemptId,
              fmt::format("sent to host {} {:.3f} s after discovery told gateway {} that it is draining",
                          host.value, seconds(now - at->second), open->request.gateway.value));
  open->attempts.resize(std::max<std::size_t>(open->attempts.size(), attemptNumber + 1));
  open->attempts[attemptNumber] = {host, zone, cell, now};
}

void InvariantChecker::executionStarted(TimePoint now, ClientAttemptId attemptId, std::uint32_t attemptNumber,
                                        HostNumber, std::uint32_t zone, std::int64_t cell) {
  OpenRequest* const open = find(attemptId);
  if (!open || attemptNumber >= open->attempts.size()) return;
  const ScenarioMethod& method = scenario_.methods[open->request.method];
  // Whether repeats are allowed is checked when an attempt starts. This checks whether one really executed
  // twice.
  for (const Attempt& attempt : open->attempts) {
    if (!attempt.ran || method.idempotency == Idempotency::idempotent) continue;
    const bool discarded = method.idempotency == Idempotency::deduplicated &&
                           now < attempt.sentAt + method.deduplicationWindow &&
                           (method.deduplicationScope == DeduplicationScope::all ||
                            (method.deduplicationScope == DeduplicationScope::zone ? attempt.zone == zone
                                                                                   : attempt.cell == cell));
    if (discarded) return;
    ++duplicateExecutions_;
    violation(now, Invariant::duplicate, attemptId, "the request was executed twice");
    break;
  }
  open->attempts[attemptNumber].ran = true;
}

void InvariantChecker::responseSent(TimePoint, ClientAttemptId attemptId, std::uint32_t attemptNumber) {
  OpenRequest* const open = find(attemptId);
  if (open && attemptNumber < open->attempts.size()) open->attempts[attemptNumber].served = true;
}

void InvariantChecker::attemptEnded(TimePoint now, ClientAttemptId attemptId, std::uint32_t attemptNumber,
                                    bool provenNotRun) {
  OpenRequest* const open = find(attemptId);
  if (!open || attemptNumber >= open->attempts.size()) return;
  Attempt& attempt = open->attempts[attemptNumber];
  if (provenNotRun && attempt.ran)
    violation(now, Invariant::duplicate, attemptId, "reported as never run, but it has run");
  attempt.inProgress = false;
  attempt.provenNotRun = provenNotRun;
  close(attemptId);
}

// ---- quotas and ceilings ----

std::optional<bool> InvariantChecker::requestDelivered(TimePoint now, ClientAttemptId attemptId,
                                                       std::uint32_t) {
  OpenRequest* const open = find(attemptId);
  if (!open || std::exchange(open->quotaCharged, true)) return std::nullopt;
  return chargeQuota(now, attemptId, *open);
}

std::optional<bool> InvariantChecker::chargeQuota(TimePoint now, ClientAttemptId attemptId,
                                                  OpenRequest& open) {
  const Plan& plan = scenario_.plans[open.request.plan].plan;
  const double units = open.request.units;
  unitsSent_ += units;
  if (plan.rate <= 0 && plan.ceilingRate <= 0) return true;
  auto [entry, inserted] = customers_.try_emplace(
      open.request.customer, CustomerState{plan.burst, plan.ceilingBurst, now, {}, 0, now});
  CustomerState& state = entry->second;
  const double elapsed = seconds(now - state.updatedAt);
  state.quotaLevel = std::min(plan.burst, state.quotaLevel + plan.rate * elapsed);
  state.ceilingLevel = std::min(plan.ceilingBurst, state.ceilingLevel + plan.ceilingRate * elapsed);
  state.updatedAt = state.lastRequestAt = now;
  const bool inside = plan.rate <= 0 || state.quotaLevel >= units - kRoundingTolerance;
  if (inside)
    state.quotaLevel -= units;
  else
    unitsOverQuota_ += units;
  if (plan.ceilingRate > 0) {
    state.ceilingLevel -= units;
    if (state.ceilingLevel < -plan.ceilingSlack - kRoundingTolerance)
      violation(now, Invariant::ceiling, attemptId,
                fmt::format("customer {:x}: {:.3f} units beyond the hard ceiling and its slack",
                            open.request.customer, -plan.ceilingSlack - state.ceilingLevel));
    state.window.emplace_back(now, units);
    state.unitsInWindow += units;
    while (state.window.front().first + kCeilingWindow <= now) {
      state.unitsInWindow -= state.window.front().second;
      state.window.pop_front();
    }
    worstWindow_ = std::max(
        worstWindow_, state.unitsInWindow / (plan.ceilingRate * seconds(kCeilingWindow) + plan.ceilingBurst));
  }
  if (customers_.size() >= nextSweepSize_) forgetIdleCustomers(now);
  return inside;
}

// After this long without requests, quota and ceiling are full again: the entry equals that of a new
// customer.
void InvariantChecker::forgetIdleCustomers(TimePoint now) {
  double longest = seconds(kCeilingWindow);
  for (const ScenarioPlan& each : scenario_.plans) {
    if (each.plan.rate > 0) longest = std::max(longest, each.plan.burst / each.plan.rate);
    if (each.plan.ceilingRate > 0)
      longest = std::max(longest, (each.plan.ceilingBurst + each.plan.ceilingSlack) / each.plan.ceilingRate);
  }
  std::erase_if(customers_,
                [&](const auto& entry) { return seconds(now - entry.second.lastRequestAt) > longest; });
  nextSweepSize_ = std::max<std::size_t>(1024, 2 * customers_.size());
}

bool InvariantChecker::isWithinLimits(TimePoint now, std::uint64_t customer, std::uint32_t planNumber,
                                      double units) const {
  const Plan& plan = scenario_.plans[planNumber].plan;
  const auto at = customers_.find(customer);
  if (at == customers_.end()) return true;
  const double elapsed = seconds(now - at->second.updatedAt);
  return (plan.rate <= 0 || std::min(plan.burst, at->second.quotaLevel + plan.rate * elapsed) >= units) &&
         (plan.ceilingRate <= 0 ||
          std::min(plan.ceilingBurst, at->second.ceilingLevel + plan.ceilingRate * elapsed) - units >=
              -plan.ceilingSlack);
}

// ---- draining hosts and slow start ----

void InvariantChecker::servingStateAnnounced(TimePoint now, GatewayNumber gateway, HostNumber host,
                                             bool serving) {
  if (serving)
    notServing_.erase({gateway.value, host.value});
  else
    notServing_.try_emplace({gateway.value, host.value}, now);
}

void InvariantChecker::hostRemoved(HostNumber host) {
  slowStarting_.erase(host.value);
  for (std::uint32_t gateway = 0; gateway < scenario_.gateways; ++gateway)
    notServing_.erase({gateway, host.value});
}

double InvariantChecker::slowStartBudget(TimePoint now, TimePoint started) const {
  const double ramp = scenario_.slowStartTime.count() > 0
                          ? std::clamp(seconds(now - started) / seconds(scenario_.slowStartTime), 0.0, 1.0)
                          : 1;
  const double share = scenario_.startCapacity + (1 - scenario_.startCapacity) * ramp;
  const double requests = scenario_.overloadMultiple * share * capacity_ * seconds(scenario_.overloadWindow);
  return requests + 2 * std::sqrt(requests) + 2;
}

bool InvariantChecker::hostReceivedRequest(TimePoint now, HostNumber host, TimePoint started, Duration work,
                                           bool startAnnounced) {
  if (now >= started + scenario_.slowStartTime) {
    slowStarting_.erase(host.value);
    return false;
  }
  SlowStartWindow& window = slowStarting_[host.value];
  const auto addLoad = [&window](const SlowStartWindow::Arrival& arrival, double sign) {
    window.load += sign * arrival.requests;
    if (arrival.startAnnounced) window.announcedLoad += sign * arrival.requests;
  };
  while (!window.arrivals.empty() && window.arrivals.front().at + scenario_.overloadWindow < now) {
    addLoad(window.arrivals.front(), -1);
    window.arrivals.pop_front();
  }
  window.arrivals.push_back({now, seconds(work) / meanWork_, startAnnounced});
  addLoad(window.arrivals.back(), 1);
  const double budget = slowStartBudget(now, started);
  peakSlowStartLoad_ = std::max(peakSlowStartLoad_, window.load / budget);
  if (window.load <= budget) return false;
  if (3 * window.announcedLoad > 2 * window.load)
    violation(
        now, Invariant::slowStart, {},
        fmt::format(
            "host {} overloaded in slow start: {:.1f} requests of mean work in {:.1f} s, {:.1f} of them from "
            "gateways that knew of its start",
            host.value, window.load, seconds(scenario_.overloadWindow), window.announcedLoad));
  slowStarting_.erase(host.value);
  return true;
}

}  // namespace merlinbridge::emulator
