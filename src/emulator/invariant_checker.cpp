#include "emulator/invariant_checker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace merlinbridge::emulator {
namespace {

// Violations of one rule that are described; all are counted.
constexpr std::uint64_t kMaxDescribed = 5;
constexpr Duration kWindow = std::chrono::seconds(10);
// Tolerance for rounding of the units of quotas; every request has more.
constexpr double kRounding = 1e-6;

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
  if (open && (open->answered || open->left) &&
      std::none_of(open->attempts.begin(), open->attempts.end(),
                   [](const Attempt& attempt) { return attempt.out; }))
    open_.erase(attemptId.value);
}

void InvariantChecker::violation(TimePoint at, Invariant rule, ClientAttemptId attemptId, std::string what) {
  if (counts_[static_cast<std::size_t>(rule)]++ < kMaxDescribed)
    first_.push_back({at, rule, attemptId, std::move(what)});
}

std::uint64_t InvariantChecker::all() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t count : counts_) sum += count;
  return sum;
}

// ---- the client's side: one whole answer in time ----

// A request that arrives after its deadline is not late by the gateway's fault: the slack counts from its
// arrival.
void InvariantChecker::taken(TimePoint now, ClientAttemptId attemptId, const Asked& asked) {
  OpenRequest& open =
      open_.emplace(attemptId.value, OpenRequest{asked, {}, false, false, false}).first->second;
  open.asked.deadline = std::max(asked.deadline, now);
}

void InvariantChecker::clientLeft(TimePoint now, ClientAttemptId attemptId) {
  OpenRequest* const open = find(attemptId);
  if (!open) return;
  if (!open->answered && !open->left && now > open->asked.deadline + scenario_.answerSlack)
    violation(now, Invariant::lost, attemptId, "never answered");
  open->left = true;
  close(attemptId);
}

void InvariantChecker::answered(TimePoint now, ClientAttemptId attemptId, Answer how) {
  OpenRequest* const open = find(attemptId);
  if (!open)
    return violation(now, Invariant::lost, attemptId,
                     "an answer to what was never asked, or to a client long gone");
  if (open->answered) return violation(now, Invariant::lost, attemptId, "a second final answer");
  open->answered = true;
  if (!open->left && now > open->asked.deadline + scenario_.answerSlack)
    violation(now, Invariant::lost, attemptId,
              fmt::format("answered {:.3f} s after its time", seconds(now - open->asked.deadline)));
  const bool served = std::any_of(open->attempts.begin(), open->attempts.end(),
                                  [](const Attempt& attempt) { return attempt.served; });
  if (how == Answer::ok && !served)
    violation(now, Invariant::lost, attemptId, "an answer that no host has made");
  if (how == Answer::rejected && mayHaveRun(*open)) {
    const ScenarioMethod& method = scenario_.methods[open->asked.method];
    if (method.repeat == Idempotency::nonIdempotent ||
        (method.repeat == Idempotency::deduplicated && method.group != DeduplicationScope::all))
      violation(now, Invariant::duplicate, attemptId, "rejected though it may have run");
  }
  close(attemptId);
}

// Clients send the requests of a dead gateway again: no decision of the gateway has lost them.
void InvariantChecker::gatewayDied(TimePoint, GatewayNumber gateway) {
  std::erase_if(open_, [gateway](const auto& at) { return at.second.asked.gateway == gateway; });
  notServing_.erase(notServing_.lower_bound({gateway.value, 0}),
                    notServing_.lower_bound({gateway.value + 1, 0}));
}

void InvariantChecker::finish(TimePoint now) {
  std::vector<std::uint64_t> late;
  for (const auto& [attemptId, open] : open_)
    if (!open.answered && !open.left && now > open.asked.deadline + scenario_.answerSlack)
      late.push_back(attemptId);
  std::sort(late.begin(), late.end());
  for (const std::uint64_t attemptId : late) violation(now, Invariant::lost, {attemptId}, "never answered");
}

// ---- the hosts' side: no effect twice ----

bool InvariantChecker::mayHaveRun(const OpenRequest& open) const {
  return std::any_of(open.attempts.begin(), open.attempts.end(),
                     [](const Attempt& attempt) { return !attempt.proven; });
}

bool InvariantChecker::mayRepeat(TimePoint now, const OpenRequest& open, std::uint32_t zone,
                                 std::int64_t cell) const {
  const ScenarioMethod& method = scenario_.methods[open.asked.method];
  if (method.repeat == Idempotency::idempotent) return true;
  return std::all_of(open.attempts.begin(), open.attempts.end(), [&](const Attempt& attempt) {
    if (attempt.proven) return true;
    if (method.repeat == Idempotency::nonIdempotent || now >= attempt.sentAt + method.window) return false;
    return method.group == DeduplicationScope::all ||
           (method.group == DeduplicationScope::zone ? attempt.zone == zone : attempt.cell == cell);
  });
}

void InvariantChecker::sent(TimePoint now, ClientAttemptId attemptId, std::uint32_t attemptNumber,
                            HostNumber host, std::uint32_t zone, std::int64_t cell) {
  OpenRequest* const open = find(attemptId);
  if (!open) return violation(now, Invariant::lost, attemptId, "sent on for a client that is not there");
  if (open->answered) violation(now, Invariant::lost, attemptId, "sent on after its final answer");
  if (!mayRepeat(now, *open, zone, cell))
    violation(now, Invariant::duplicate, attemptId,
              fmt::format("attempt {} though an earlier one may have run", attemptNumber));
  if (!scenario_.allowHedging && std::any_of(open->attempts.begin(), open->attempts.end(),
                                             [](const Attempt& attempt) { return attempt.out; }))
    violation(now, Invariant::duplicate, attemptId,
              fmt::format("attempt {} while another is out", attemptNumber));
  if (const auto at = notServing_.find({open->asked.gateway.value, host.value});
      at != notServing_.end() && now > at->second + scenario_.drainGrace)
    violation(now, Invariant::drain, attemptId,
              fmt::format("sent to host {} {:.3f} s after gateway {} was told that it drains", host.value,
                          seconds(now - at->second), open->asked.gateway.value));
  open->attempts.resize(std::max<std::size_t>(open->attempts.size(), attemptNumber + 1));
  open->attempts[attemptNumber] = {host, zone, cell, now};
}

void InvariantChecker::ran(TimePoint now, ClientAttemptId attemptId, std::uint32_t attemptNumber, HostNumber,
                           std::uint32_t zone, std::int64_t cell) {
  OpenRequest* const open = find(attemptId);
  if (!open || attemptNumber >= open->attempts.size()) return;
  const ScenarioMethod& method = scenario_.methods[open->asked.method];
  // Beside what the table allows: did the same effect really come twice?
  for (const Attempt& attempt : open->attempts) {
    if (!attempt.ran || method.repeat == Idempotency::idempotent) continue;
    const bool dropped = method.repeat == Idempotency::deduplicated && now < attempt.sentAt + method.window &&
                         (method.group == DeduplicationScope::all ||
                          (method.group == DeduplicationScope::zone ? attempt.zone == zone : attempt.cell == cell));
    if (dropped) return;
    ++runsTwice_;
    violation(now, Invariant::duplicate, attemptId, "its effect came twice");
    break;
  }
  open->attempts[attemptNumber].ran = true;
}

void InvariantChecker::served(TimePoint, ClientAttemptId attemptId, std::uint32_t attemptNumber) {
  OpenRequest* const open = find(attemptId);
  if (open && attemptNumber < open->attempts.size()) open->attempts[attemptNumber].served = true;
}

void InvariantChecker::over(TimePoint now, ClientAttemptId attemptId, std::uint32_t attemptNumber,
                            bool proven) {
  OpenRequest* const open = find(attemptId);
  if (!open || attemptNumber >= open->attempts.size()) return;
  Attempt& attempt = open->attempts[attemptNumber];
  if (proven && attempt.ran)
    violation(now, Invariant::duplicate, attemptId, "told as never run, though it has run");
  attempt.out = false;
  attempt.proven = proven;
  close(attemptId);
}

// ---- quotas and ceilings ----

std::optional<bool> InvariantChecker::reached(TimePoint now, ClientAttemptId attemptId, std::uint32_t) {
  OpenRequest* const open = find(attemptId);
  if (!open || std::exchange(open->drawn, true)) return std::nullopt;
  return draw(now, attemptId, *open);
}

std::optional<bool> InvariantChecker::draw(TimePoint now, ClientAttemptId attemptId, OpenRequest& open) {
  const Plan& plan = scenario_.plans[open.asked.plan].plan;
  const double units = open.asked.units;
  unitsSent_ += units;
  if (plan.rate <= 0 && plan.ceilingRate <= 0) return true;
  auto [at, fresh] = customers_.try_emplace(open.asked.customer,
                                            CustomerState{plan.burst, plan.ceilingBurst, now, {}, 0, now});
  CustomerState& state = at->second;
  const double passed = seconds(now - state.at);
  state.level = std::min(plan.burst, state.level + plan.rate * passed);
  state.ceiling = std::min(plan.ceilingBurst, state.ceiling + plan.ceilingRate * passed);
  state.at = state.seen = now;
  const bool inside = plan.rate <= 0 || state.level >= units - kRounding;
  if (inside)
    state.level -= units;
  else
    unitsBeyond_ += units;
  if (plan.ceilingRate > 0) {
    state.ceiling -= units;
    if (state.ceiling < -plan.ceilingSlack - kRounding)
      violation(now, Invariant::ceiling, attemptId,
                fmt::format("customer {:x}: {:.3f} units under the ceiling's slack", open.asked.customer,
                            -plan.ceilingSlack - state.ceiling));
    state.window.emplace_back(now, units);
    state.inWindow += units;
    while (state.window.front().first + kWindow <= now) {
      state.inWindow -= state.window.front().second;
      state.window.pop_front();
    }
    worstWindow_ =
        std::max(worstWindow_, state.inWindow / (plan.ceilingRate * seconds(kWindow) + plan.ceilingBurst));
  }
  if (customers_.size() >= sweepAt_) forgetIdleCustomers(now);
  return inside;
}

// A customer whose quota and ceiling are full again is the same as a new one.
void InvariantChecker::forgetIdleCustomers(TimePoint now) {
  double longest = seconds(kWindow);
  for (const ScenarioPlan& each : scenario_.plans) {
    if (each.plan.rate > 0) longest = std::max(longest, each.plan.burst / each.plan.rate);
    if (each.plan.ceilingRate > 0)
      longest = std::max(longest, (each.plan.ceilingBurst + each.plan.ceilingSlack) / each.plan.ceilingRate);
  }
  std::erase_if(customers_, [&](const auto& entry) { return seconds(now - entry.second.seen) > longest; });
  sweepAt_ = std::max<std::size_t>(1024, 2 * customers_.size());
}

bool InvariantChecker::wouldFit(TimePoint now, std::uint64_t customer, std::uint32_t planNumber,
                                double units) const {
  const Plan& plan = scenario_.plans[planNumber].plan;
  const auto at = customers_.find(customer);
  if (at == customers_.end()) return true;
  const double passed = seconds(now - at->second.at);
  return (plan.rate <= 0 || std::min(plan.burst, at->second.level + plan.rate * passed) >= units) &&
         (plan.ceilingRate <= 0 ||
          std::min(plan.ceilingBurst, at->second.ceiling + plan.ceilingRate * passed) - units >=
              -plan.ceilingSlack);
}

// ---- drains and cold hosts ----

void InvariantChecker::told(TimePoint now, GatewayNumber gateway, HostNumber host, bool serving) {
  if (serving)
    notServing_.erase({gateway.value, host.value});
  else
    notServing_.try_emplace({gateway.value, host.value}, now);
}

void InvariantChecker::hostForgotten(HostNumber host) {
  cold_.erase(host.value);
  for (std::uint32_t gateway = 0; gateway < scenario_.gateways; ++gateway)
    notServing_.erase({gateway, host.value});
}

double InvariantChecker::coldBudget(TimePoint now, TimePoint started) const {
  const double ramp = scenario_.slowStartTime.count() > 0
                          ? std::clamp(seconds(now - started) / seconds(scenario_.slowStartTime), 0.0, 1.0)
                          : 1;
  const double share = scenario_.startCapacity + (1 - scenario_.startCapacity) * ramp;
  const double requests = scenario_.overloadMultiple * share * capacity_ * seconds(scenario_.overloadWindow);
  return requests + 2 * std::sqrt(requests) + 2;
}

bool InvariantChecker::hostAsked(TimePoint now, HostNumber host, TimePoint started, Duration work,
                                 bool told) {
  if (now >= started + scenario_.slowStartTime) {
    cold_.erase(host.value);
    return false;
  }
  Cold& cold = cold_[host.value];
  const auto take = [&cold](const Cold::Part& part, double sign) {
    cold.sum += sign * part.requests;
    if (part.told) cold.sumTold += sign * part.requests;
  };
  while (!cold.parts.empty() && cold.parts.front().at + scenario_.overloadWindow < now) {
    take(cold.parts.front(), -1);
    cold.parts.pop_front();
  }
  cold.parts.push_back({now, seconds(work) / meanWork_, told});
  take(cold.parts.back(), 1);
  const double budget = coldBudget(now, started);
  nearestCold_ = std::max(nearestCold_, cold.sum / budget);
  if (cold.sum <= budget) return false;
  if (3 * cold.sumTold > 2 * cold.sum)
    violation(
        now, Invariant::slowStart, {},
        fmt::format(
            "host {} fell: {:.1f} requests of mean work in {:.1f} s while cold, {:.1f} of them from gateways "
            "told of its start",
            host.value, cold.sum, seconds(scenario_.overloadWindow), cold.sumTold));
  cold_.erase(host.value);
  return true;
}

}  // namespace merlinbridge::emulator
