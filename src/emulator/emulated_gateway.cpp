#include "emulator/emulated_gateway.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>

#include "emulator/random_stream.hpp"

namespace merlinbridge::emulator {
namespace {

using core::SlotRef;

// The daemon's own core, with the module inside.
class Own final : public EmulatedGateway {
 public:
  Own(const config::GatewayConfig& config, TimePoint now, core::DeadlineQueue& deadlines,
      core::Transport& transport)
      : core_(config, now, deadlines, transport) {}

  void requestArrived(TimePoint now, SlotRef client, const Request& request) override {
    const RequestId requestId = core_.requestArrived(now, client, request);
    if (core_.holds(requestId)) requests_[client.packed()] = requestId;
    if (requests_.size() > sweepAt_) {
      std::erase_if(requests_, [this](const auto& at) { return !core_.holds(at.second); });
      sweepAt_ = std::max<std::size_t>(64, 2 * requests_.size());
    }
  }
  void clientLeft(TimePoint now, SlotRef client) override {
    const auto at = requests_.find(client.packed());
    if (at == requests_.end()) return;
    const RequestId requestId = at->second;
    requests_.erase(at);
    core_.clientLeft(now, requestId);
  }
  void attemptEnded(TimePoint now, RequestId requestId, AttemptNumber no, Outcome outcome,
                    const core::UpstreamResponse& response) override {
    core_.attemptEnded(now, requestId, no, outcome, response);
  }
  void counterCallEnded(TimePoint now, const CounterKey& name, CounterCallOutcome end, double total,
                        Duration took) override {
    core_.counterCallEnded(now, name, end, total, took);
  }
  void endpointsUpdated(TimePoint now, const config::EndpointList& endpoints) override {
    core_.endpointsUpdated(now, endpoints);
  }
  const std::string& addressOf(HostId host) const override { return core_.addressOf(host); }
  void setAnswerDeadline(TimePoint by) override { core_.setAnswerDeadline(by); }
  std::size_t unanswered() const override { return core_.unanswered(); }

 private:
  core::GatewayCore core_;
  std::unordered_map<std::uint64_t, RequestId>
      requests_;  // by client, looked up and never walked in its order
  std::size_t sweepAt_ = 64;
};

// What the policies beside the module share: one attempt for each request, and no second.
class Simple : public EmulatedGateway {
 public:
  Simple(const config::GatewayConfig& config, TimePoint now, core::DeadlineQueue& deadlines,
         core::Transport& transport)
      : settings_(config.settings),
        slack_(config.answerSlack),
        deadlines_(deadlines),
        transport_(transport),
        random_(config.seed, "policy") {
    config::EndpointList known = config.known;
    known.complete = true;
    Simple::endpointsUpdated(now, known);
  }

  void requestArrived(TimePoint now, SlotRef client, const Request& request) override {
    const auto host = admits(now, request) ? choose(now) : std::nullopt;
    if (!host) return transport_.answerRejected(client, settings_.connectTimeout);
    const RequestId requestId{++last_};
    const TimePoint by = std::min(request.deadline, latest_) - slack_;
    const auto sent = transport_.startAttempt(requestId, {0}, client, *host, {by, TimePoint::max()});
    if (std::holds_alternative<Outcome>(sent)) return transport_.answerRejected(client, Duration{0});
    requests_[requestId.value] = {client, std::get<SlotRef>(sent),
                                  settings_.methods[request.method.value].repeat == Repeat::idempotent};
    byClient_[client.packed()] = requestId.value;
    deadlines_.add(std::max(now, by), [this, requestId](TimePoint) { closeAttempt(requestId, true); });
  }
  void clientLeft(TimePoint, SlotRef client) override {
    if (const auto at = byClient_.find(client.packed()); at != byClient_.end())
      closeAttempt({at->second}, false);
  }
  void attemptEnded(TimePoint, RequestId requestId, AttemptNumber, Outcome outcome,
                    const core::UpstreamResponse& response) override {
    const auto at = requests_.find(requestId.value);
    if (at == requests_.end()) return;
    const Held held = at->second;
    drop(requestId);
    if (outcome == Outcome::ok) return transport_.answerOk(held.client, response.body, response.type);
    if (held.idempotent || outcome == Outcome::rejected || outcome == Outcome::noConnection)
      return transport_.answerRejected(held.client, Duration{0});
    transport_.answerFailed(held.client);
  }
  void counterCallEnded(TimePoint, const CounterKey&, CounterCallOutcome, double, Duration) override {}
  void endpointsUpdated(TimePoint, const config::EndpointList& endpoints) override {
    if (endpoints.complete) serving_.clear();
    for (const config::Endpoint& line : endpoints.entries) {
      std::erase(serving_, line.address);
      if (line.serving) serving_.push_back(line.address);
    }
  }
  const std::string& addressOf(HostId host) const override { return serving_[host.value]; }
  void setAnswerDeadline(TimePoint by) override { latest_ = by; }
  std::size_t unanswered() const override { return requests_.size(); }

 protected:
  virtual bool admits(TimePoint, const Request&) { return true; }
  virtual std::optional<HostId> choose(TimePoint) {
    if (serving_.empty()) return std::nullopt;
    return HostId{static_cast<std::uint32_t>(random_.below(serving_.size()))};
  }

  const PolicySettings settings_;
  const Duration slack_;
  std::vector<std::string> serving_;  // an attempt is made at once, so its place here is the host's number

 private:
  struct Held {
    SlotRef client, link;
    bool idempotent = false;
  };
  void drop(RequestId requestId) {
    byClient_.erase(requests_.at(requestId.value).client.packed());
    requests_.erase(requestId.value);
  }
  void closeAttempt(RequestId requestId, bool answer) {
    const auto at = requests_.find(requestId.value);
    if (at == requests_.end()) return;
    const Held held = at->second;
    drop(requestId);
    transport_.closeAttempt(held.client, {0}, held.link);
    if (answer) transport_.answerFailed(held.client);
  }

  core::DeadlineQueue& deadlines_;
  core::Transport& transport_;

 protected:
  RandomStream random_;

 private:
  std::uint64_t last_ = 0;
  TimePoint latest_ = TimePoint::max();
  std::unordered_map<std::uint64_t, Held> requests_;
  std::unordered_map<std::uint64_t, std::uint64_t> byClient_;
};

// Each gateway keeps to its even part of every quota and ceiling, and tells nobody.
class Even final : public Simple {
 public:
  using Simple::Simple;

 private:
  struct Part {
    double level, ceiling;
    TimePoint at;
  };
  bool admits(TimePoint now, const Request& a) override {
    const Plan& p = settings_.plans[a.plan.value];
    const double share = 1.0 / std::max(1u, a.gateways);
    // A part of the ceiling begins empty: what an earlier life has sent is not known.
    Part& part = parts_.try_emplace(a.customer.value, Part{p.burst * share, 0, now}).first->second;
    const double passed = seconds(now - part.at) * share;
    part.level = std::min(std::max(p.burst * share, settings_.maxUnits), part.level + p.rate * passed);
    part.ceiling = std::min(p.ceilingBurst * share, part.ceiling + p.ceilingRate * passed);
    part.at = now;
    if (p.rate > 0 && part.level < a.units) return false;
    if (p.ceilingRate > 0 && part.ceiling < a.units) return false;
    part.level -= a.units, part.ceiling -= a.units;
    return true;
  }
  std::map<std::uint64_t, Part> parts_;
};

// Sees every quota and every host as they are.
class Seeing final : public Simple {
 public:
  Seeing(const config::GatewayConfig& config, TimePoint now, core::DeadlineQueue& deadlines,
         core::Transport& transport, Truth truth)
      : Simple(config, now, deadlines, transport), truth_(std::move(truth)) {}

 private:
  bool admits(TimePoint, const Request& a) override {
    return truth_.inside(a.customer.value, a.plan.value, a.units);
  }
  std::optional<HostId> choose(TimePoint) override {
    std::optional<HostId> best;
    double least = 0;
    const std::size_t from = serving_.empty() ? 0 : random_.below(serving_.size());
    for (std::size_t n = 0; n < serving_.size(); ++n) {
      const std::size_t h = (from + n) % serving_.size();
      const double load = truth_.load(serving_[h]);
      if (load < 0 || (best && load >= least)) continue;
      best = HostId{static_cast<std::uint32_t>(h)}, least = load;
    }
    return best;
  }
  Truth truth_;
};

constexpr std::pair<std::string_view, Policy> kPolicies[] = {
    {"module", Policy::module}, {"all", Policy::all}, {"even", Policy::even}, {"truth", Policy::truth}};

}  // namespace

std::string_view wordOf(Policy policy) {
  return kPolicies[static_cast<std::size_t>(policy)].first;
}

std::optional<Policy> policyNamed(std::string_view word) {
  for (const auto& [name, policy] : kPolicies)
    if (name == word) return policy;
  return std::nullopt;
}

std::unique_ptr<EmulatedGateway> makeGateway(Policy policy, const config::GatewayConfig& config,
                                             TimePoint now, core::DeadlineQueue& deadlines,
                                             core::Transport& transport, const Truth& truth) {
  switch (policy) {
    case Policy::module:
      return std::make_unique<Own>(config, now, deadlines, transport);
    case Policy::all:
      return std::make_unique<Simple>(config, now, deadlines, transport);
    case Policy::even:
      return std::make_unique<Even>(config, now, deadlines, transport);
    case Policy::truth:
      return std::make_unique<Seeing>(config, now, deadlines, transport, truth);
  }
  return nullptr;
}

}  // namespace merlinbridge::emulator
