#include "emulator/invariant_checker.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace merlinbridge::emulator {
namespace {

// Breaches of one rule that are written down in words; all are counted.
constexpr std::uint64_t kInWords = 5;
constexpr Duration kWindow = std::chrono::seconds(10);
// What binary fractions lose when units are drawn and filled; no request is so small.
constexpr double kRounding = 1e-6;

}  // namespace

std::string_view wordOf(Invariant rule) {
  static constexpr std::string_view kWords[] = {"lost", "duplicate", "drain", "slow_start", "ceiling"};
  return kWords[static_cast<std::size_t>(rule)];
}

InvariantChecker::InvariantChecker(const Scenario& s) : s_(s) {
  double share = 0, work = 0;
  for (const ScenarioMethod& m : s.methods) share += m.share, work += m.share * seconds(m.work);
  if (share > 0 && work > 0) meanWork_ = work / share, capacity_ = s.cores / meanWork_;
}

InvariantChecker::Open* InvariantChecker::find(ClientAttemptId attemptId) {
  const auto at = open_.find(attemptId.value);
  return at == open_.end() ? nullptr : &at->second;
}

void InvariantChecker::close(ClientAttemptId attemptId) {
  const Open* const open = find(attemptId);
  if (open && (open->answered || open->left) &&
      std::none_of(open->outs.begin(), open->outs.end(), [](const Out& o) { return o.out; }))
    open_.erase(attemptId.value);
}

void InvariantChecker::violation(TimePoint at, Invariant rule, ClientAttemptId attemptId, std::string what) {
  if (counts_[static_cast<std::size_t>(rule)]++ < kInWords)
    first_.push_back({at, rule, attemptId, std::move(what)});
}

std::uint64_t InvariantChecker::all() const {
  std::uint64_t sum = 0;
  for (const std::uint64_t n : counts_) sum += n;
  return sum;
}

// ---- the client's side: one whole answer in time ----

// What comes to a gateway after its time is late by no fault of the gateway's: it has the slack from then on.
void InvariantChecker::taken(TimePoint now, ClientAttemptId attemptId, const Asked& asked) {
  Open& open = open_.emplace(attemptId.value, Open{asked, {}, false, false, false}).first->second;
  open.asked.deadline = std::max(asked.deadline, now);
}

void InvariantChecker::clientLeft(TimePoint now, ClientAttemptId attemptId) {
  Open* const open = find(attemptId);
  if (!open) return;
  if (!open->answered && !open->left && now > open->asked.deadline + s_.answerSlack)
    violation(now, Invariant::lost, attemptId, "never answered");
  open->left = true;
  close(attemptId);
}

void InvariantChecker::answered(TimePoint now, ClientAttemptId attemptId, Answer how) {
  Open* const open = find(attemptId);
  if (!open)
    return violation(now, Invariant::lost, attemptId,
                     "an answer to what was never asked, or to a client long gone");
  if (open->answered) return violation(now, Invariant::lost, attemptId, "a second final answer");
  open->answered = true;
  if (!open->left && now > open->asked.deadline + s_.answerSlack)
    violation(now, Invariant::lost, attemptId,
              fmt::format("answered {:.3f} s after its time", seconds(now - open->asked.deadline)));
  const bool served =
      std::any_of(open->outs.begin(), open->outs.end(), [](const Out& o) { return o.served; });
  if (how == Answer::ok && !served)
    violation(now, Invariant::lost, attemptId, "an answer that no host has made");
  if (how == Answer::rejected && mayHaveRun(*open)) {
    const ScenarioMethod& m = s_.methods[open->asked.method];
    if (m.repeat == Repeat::nonIdempotent || (m.repeat == Repeat::deduplicated && m.group != Group::all))
      violation(now, Invariant::duplicate, attemptId, "rejected though it may have run");
  }
  close(attemptId);
}

// What it held is the clients' to ask again: it has not ended it, its machine has.
void InvariantChecker::gatewayDied(TimePoint, GatewayNumber gateway) {
  std::erase_if(open_, [gateway](const auto& at) { return at.second.asked.gateway == gateway; });
  notServing_.erase(notServing_.lower_bound({gateway.value, 0}),
                    notServing_.lower_bound({gateway.value + 1, 0}));
}

void InvariantChecker::finish(TimePoint now) {
  std::vector<std::uint64_t> late;
  for (const auto& [attemptId, open] : open_)
    if (!open.answered && !open.left && now > open.asked.deadline + s_.answerSlack) late.push_back(attemptId);
  std::sort(late.begin(), late.end());
  for (const std::uint64_t attemptId : late) violation(now, Invariant::lost, {attemptId}, "never answered");
}

// ---- the hosts' side: no effect twice ----

bool InvariantChecker::mayHaveRun(const Open& open) const {
  return std::any_of(open.outs.begin(), open.outs.end(), [](const Out& o) { return !o.proven; });
}

bool InvariantChecker::mayRepeat(TimePoint now, const Open& open, std::uint32_t zone,
                                 std::int64_t cell) const {
  const ScenarioMethod& m = s_.methods[open.asked.method];
  if (m.repeat == Repeat::idempotent) return true;
  return std::all_of(open.outs.begin(), open.outs.end(), [&](const Out& o) {
    if (o.proven) return true;
    if (m.repeat == Repeat::nonIdempotent || now >= o.sentAt + m.window) return false;
    return m.group == Group::all || (m.group == Group::zone ? o.zone == zone : o.cell == cell);
  });
}

void InvariantChecker::sent(TimePoint now, ClientAttemptId attemptId, std::uint32_t no, HostNumber machine,
                            std::uint32_t zone, std::int64_t cell) {
  Open* const open = find(attemptId);
  if (!open) return violation(now, Invariant::lost, attemptId, "sent on for a client that is not there");
  if (open->answered) violation(now, Invariant::lost, attemptId, "sent on after its final answer");
  if (!mayRepeat(now, *open, zone, cell))
    violation(now, Invariant::duplicate, attemptId,
              fmt::format("attempt {} though an earlier one may have run", no));
  if (!s_.allowHedging &&
      std::any_of(open->outs.begin(), open->outs.end(), [](const Out& o) { return o.out; }))
    violation(now, Invariant::duplicate, attemptId, fmt::format("attempt {} while another is out", no));
  if (const auto at = notServing_.find({open->asked.gateway.value, machine.value});
      at != notServing_.end() && now > at->second + s_.drainGrace)
    violation(now, Invariant::drain, attemptId,
              fmt::format("sent to host {} {:.3f} s after gateway {} was told that it drains", machine.value,
                          seconds(now - at->second), open->asked.gateway.value));
  open->outs.resize(std::max<std::size_t>(open->outs.size(), no + 1));
  open->outs[no] = {machine, zone, cell, now};
}

void InvariantChecker::ran(TimePoint now, ClientAttemptId attemptId, std::uint32_t no, HostNumber,
                           std::uint32_t zone, std::int64_t cell) {
  Open* const open = find(attemptId);
  if (!open || no >= open->outs.size()) return;
  const ScenarioMethod& m = s_.methods[open->asked.method];
  // Beside what the table allows: did the same effect really come twice?
  for (const Out& o : open->outs) {
    if (!o.ran || m.repeat == Repeat::idempotent) continue;
    const bool dropped =
        m.repeat == Repeat::deduplicated && now < o.sentAt + m.window &&
        (m.group == Group::all || (m.group == Group::zone ? o.zone == zone : o.cell == cell));
    if (dropped) return;
    ++runsTwice_;
    violation(now, Invariant::duplicate, attemptId, "its effect came twice");
    break;
  }
  open->outs[no].ran = true;
}

void InvariantChecker::served(TimePoint, ClientAttemptId attemptId, std::uint32_t no) {
  Open* const open = find(attemptId);
  if (open && no < open->outs.size()) open->outs[no].served = true;
}

void InvariantChecker::over(TimePoint now, ClientAttemptId attemptId, std::uint32_t no, bool proven) {
  Open* const open = find(attemptId);
  if (!open || no >= open->outs.size()) return;
  Out& out = open->outs[no];
  if (proven && out.ran)
    violation(now, Invariant::duplicate, attemptId, "told as never run, though it has run");
  out.out = false, out.proven = proven;
  close(attemptId);
}

// ---- quotas and ceilings ----

std::optional<bool> InvariantChecker::reached(TimePoint now, ClientAttemptId attemptId, std::uint32_t) {
  Open* const open = find(attemptId);
  if (!open || std::exchange(open->drawn, true)) return std::nullopt;
  return draw(now, attemptId, *open);
}

std::optional<bool> InvariantChecker::draw(TimePoint now, ClientAttemptId attemptId, Open& open) {
  const Plan& p = s_.plans[open.asked.plan].plan;
  const double units = open.asked.units;
  unitsSent_ += units;
  if (p.rate <= 0 && p.ceilingRate <= 0) return true;
  auto [at, fresh] =
      customers_.try_emplace(open.asked.customer, CustomerState{p.burst, p.ceilingBurst, now, {}, 0, now});
  CustomerState& purse = at->second;
  const double passed = seconds(now - purse.at);
  purse.level = std::min(p.burst, purse.level + p.rate * passed);
  purse.ceiling = std::min(p.ceilingBurst, purse.ceiling + p.ceilingRate * passed);
  purse.at = purse.seen = now;
  const bool inside = p.rate <= 0 || purse.level >= units - kRounding;
  if (inside)
    purse.level -= units;
  else
    unitsBeyond_ += units;
  if (p.ceilingRate > 0) {
    purse.ceiling -= units;
    if (purse.ceiling < -p.ceilingSlack - kRounding)
      violation(now, Invariant::ceiling, attemptId,
                fmt::format("customer {:x}: {:.3f} units under the ceiling's slack", open.asked.customer,
                            -p.ceilingSlack - purse.ceiling));
    purse.window.emplace_back(now, units), purse.inWindow += units;
    while (purse.window.front().first + kWindow <= now)
      purse.inWindow -= purse.window.front().second, purse.window.pop_front();
    worstWindow_ =
        std::max(worstWindow_, purse.inWindow / (p.ceilingRate * seconds(kWindow) + p.ceilingBurst));
  }
  // A purse that has filled up again says no more than a new one would.
  if (customers_.size() >= sweepAt_) {
    std::erase_if(customers_, [this, now](const auto& entry) {
      double longest = seconds(kWindow);
      for (const ScenarioPlan& plan : s_.plans) {
        if (plan.plan.rate > 0) longest = std::max(longest, plan.plan.burst / plan.plan.rate);
        if (plan.plan.ceilingRate > 0)
          longest =
              std::max(longest, (plan.plan.ceilingBurst + plan.plan.ceilingSlack) / plan.plan.ceilingRate);
      }
      return seconds(now - entry.second.seen) > longest;
    });
    sweepAt_ = std::max<std::size_t>(1024, 2 * customers_.size());
  }
  return inside;
}

bool InvariantChecker::wouldFit(TimePoint now, std::uint64_t customer, std::uint32_t plan,
                                double units) const {
  const Plan& p = s_.plans[plan].plan;
  const auto at = customers_.find(customer);
  if (at == customers_.end()) return true;
  const double passed = seconds(now - at->second.at);
  return (p.rate <= 0 || std::min(p.burst, at->second.level + p.rate * passed) >= units) &&
         (p.ceilingRate <= 0 ||
          std::min(p.ceilingBurst, at->second.ceiling + p.ceilingRate * passed) - units >= -p.ceilingSlack);
}

// ---- drains and cold hosts ----

void InvariantChecker::told(TimePoint now, GatewayNumber gateway, HostNumber machine, bool serving) {
  if (serving)
    notServing_.erase({gateway.value, machine.value});
  else
    notServing_.try_emplace({gateway.value, machine.value}, now);
}

void InvariantChecker::hostForgotten(HostNumber machine) {
  cold_.erase(machine.value);
  for (std::uint32_t g = 0; g < s_.gateways; ++g) notServing_.erase({g, machine.value});
}

double InvariantChecker::coldBudget(TimePoint now, TimePoint started) const {
  const double ramp =
      s_.cold.count() > 0 ? std::clamp(seconds(now - started) / seconds(s_.cold), 0.0, 1.0) : 1;
  const double share = s_.startCapacity + (1 - s_.startCapacity) * ramp;
  const double n = s_.overloadMultiple * share * capacity_ * seconds(s_.tip);
  return n + 2 * std::sqrt(n) + 2;
}

bool InvariantChecker::hostAsked(TimePoint now, HostNumber machine, TimePoint started, Duration work,
                                 bool told) {
  if (now >= started + s_.cold) return cold_.erase(machine.value), false;
  Cold& cold = cold_[machine.value];
  const auto take = [&cold](const Cold::Part& part, double sign) {
    cold.sum += sign * part.requests;
    if (part.told) cold.sumTold += sign * part.requests;
  };
  while (!cold.parts.empty() && cold.parts.front().at + s_.tip < now)
    take(cold.parts.front(), -1), cold.parts.pop_front();
  cold.parts.push_back({now, seconds(work) / meanWork_, told});
  take(cold.parts.back(), 1);
  const double budget = coldBudget(now, started);
  nearestCold_ = std::max(nearestCold_, cold.sum / budget);
  if (cold.sum <= budget) return false;
  if (3 * cold.sumTold > 2 * cold.sum)
    violation(
        now, Invariant::cold, {},
        fmt::format(
            "host {} fell: {:.1f} requests of mean work in {:.1f} s while cold, {:.1f} of them from gateways "
            "told of its start",
            machine.value, cold.sum, seconds(s_.tip), cold.sumTold));
  cold_.erase(machine.value);
  return true;
}

}  // namespace merlinbridge::emulator
