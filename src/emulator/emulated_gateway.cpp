#include "emulator/emulated_gateway.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <unordered_map>

#include "emulator/random_stream.hpp"

namespace merlinbridge::emulator {
namespace {

using core::SlotRef;

/// The daemon's own core, with its decision engine.
class CoreGateway final : public EmulatedGateway {
 public:
  CoreGateway(const config::GatewayConfig& config, TimePoint now, core::DeadlineQueue& deadlines,
              core::Transport& transport)
      : core_(config, now, deadlines, transport) {}

  void requestArrived(TimePoint now, SlotRef client, const Request& request) override {
    const RequestId requestId = core_.requestArrived(now, client, request);
    if (core_.contains(requestId)) requests_[client.packed()] = requestId;
    if (requests_.size() > sweepAt_) {
      std::erase_if(requests_, [this](const auto& at) { return !core_.contains(at.second); });
      sweepAt_ = std::max<std::size_t>(64, 2 * requests_.size());
    }
  }
  void clientDisconnected(TimePoint now, SlotRef client) override {
    const auto at = requests_.find(client.packed());
    if (at == requests_.end()) return;
    const RequestId requestId = at->second;
    requests_.erase(at);
    core_.clientDisconnected(now, requestId);
  }
  void attemptEnded(TimePoint now, RequestId requestId, AttemptNumber attemptNumber, Outcome outcome,
                    const core::UpstreamResponse& response) override {
    core_.attemptEnded(now, requestId, attemptNumber, outcome, response);
  }
  void counterCallEnded(TimePoint now, const CounterKey& key, CounterCallOutcome outcome, double total,
                        Duration duration) override {
    core_.counterCallEnded(now, key, outcome, total, duration);
  }
  void endpointsUpdated(TimePoint now, const config::EndpointList& endpoints) override {
    core_.endpointsUpdated(now, endpoints);
  }
  const std::string& addressOf(HostId host) const override { return core_.addressOf(host); }
  void setAnswerDeadline(TimePoint deadline) override { core_.setAnswerDeadline(deadline); }
  std::size_t unansweredCount() const override { return core_.unansweredCount(); }

 private:
  core::GatewayCore core_;
  std::unordered_map<std::uint64_t, RequestId>
      requests_;  ///< By client. Iterated only to erase entries, so that its order has no effect on the run.
  std::size_t sweepAt_ = 64;
};

/// Base of the simple policies: admits all requests and makes one attempt for each, at a random host.
class AdmitAllGateway : public EmulatedGateway {
 public:
  AdmitAllGateway(const config::GatewayConfig& config, TimePoint now, core::DeadlineQueue& deadlines,
                  core::Transport& transport)
      : settings_(config.settings),
        answerSlack_(config.answerSlack),
        deadlines_(deadlines),
        transport_(transport),
        random_(config.seed, "policy") {
    config::EndpointList known = config.knownEndpoints;
    known.complete = true;
    AdmitAllGateway::endpointsUpdated(now, known);
  }

  void requestArrived(TimePoint now, SlotRef client, const Request& request) override {
    const auto host = isAdmitted(now, request) ? chooseHost(now) : std::nullopt;
    if (!host) return transport_.sendRejection(client, settings_.connectTimeout);
    const RequestId requestId{++lastRequestId_};
    const TimePoint abandonAt = std::min(request.deadline, answerDeadline_) - answerSlack_;
    const auto sent = transport_.startAttempt(requestId, {0}, client, *host, {abandonAt, TimePoint::max()});
    if (std::holds_alternative<Outcome>(sent)) return transport_.sendRejection(client, Duration{0});
    requests_[requestId.value] = {
        client, std::get<SlotRef>(sent),
        settings_.methods[request.method.value].idempotency == Idempotency::idempotent};
    requestIdsByClient_[client.packed()] = requestId.value;
    deadlines_.add(std::max(now, abandonAt),
                   [this, requestId](TimePoint) { closeAttempt(requestId, ClientAnswer::failure); });
  }
  void clientDisconnected(TimePoint, SlotRef client) override {
    if (const auto at = requestIdsByClient_.find(client.packed()); at != requestIdsByClient_.end())
      closeAttempt({at->second}, ClientAnswer::none);
  }
  void attemptEnded(TimePoint, RequestId requestId, AttemptNumber, Outcome outcome,
                    const core::UpstreamResponse& response) override {
    const auto at = requests_.find(requestId.value);
    if (at == requests_.end()) return;
    const PendingRequest pending = at->second;
    dropRequest(requestId);
    if (outcome == Outcome::ok)
      return transport_.sendResponse(pending.client, response.body, response.contentType);
    if (pending.idempotent || outcome == Outcome::rejected || outcome == Outcome::noConnection)
      return transport_.sendRejection(pending.client, Duration{0});
    transport_.sendFailure(pending.client);
  }
  void counterCallEnded(TimePoint, const CounterKey&, CounterCallOutcome, double, Duration) override {}
  void endpointsUpdated(TimePoint, const config::EndpointList& endpoints) override {
    if (endpoints.complete) servingAddresses_.clear();
    for (const config::Endpoint& endpoint : endpoints.entries) {
      std::erase(servingAddresses_, endpoint.address);
      if (endpoint.serving) servingAddresses_.push_back(endpoint.address);
    }
  }
  const std::string& addressOf(HostId host) const override { return servingAddresses_[host.value]; }
  void setAnswerDeadline(TimePoint deadline) override { answerDeadline_ = deadline; }
  std::size_t unansweredCount() const override { return requests_.size(); }

 protected:
  virtual bool isAdmitted(TimePoint, const Request&) { return true; }
  virtual std::optional<HostId> chooseHost(TimePoint) {
    if (servingAddresses_.empty()) return std::nullopt;
    return HostId{static_cast<std::uint32_t>(random_.below(servingAddresses_.size()))};
  }

  const PolicySettings settings_;
  const Duration answerSlack_;
  /// The index of an address is its host's id only until the next update. That suffices, because attempts
  /// start as soon as a host is chosen.
  std::vector<std::string> servingAddresses_;

 private:
  struct PendingRequest {
    SlotRef client;
    SlotRef attempt;
    bool idempotent = false;
  };
  enum class ClientAnswer { none, failure };
  void dropRequest(RequestId requestId) {
    requestIdsByClient_.erase(requests_.at(requestId.value).client.packed());
    requests_.erase(requestId.value);
  }
  void closeAttempt(RequestId requestId, ClientAnswer clientAnswer) {
    const auto at = requests_.find(requestId.value);
    if (at == requests_.end()) return;
    const PendingRequest pending = at->second;
    dropRequest(requestId);
    transport_.closeAttempt(pending.client, {0}, pending.attempt);
    if (clientAnswer == ClientAnswer::failure) transport_.sendFailure(pending.client);
  }

  core::DeadlineQueue& deadlines_;
  core::Transport& transport_;

 protected:
  RandomStream random_;

 private:
  std::uint64_t lastRequestId_ = 0;
  TimePoint answerDeadline_ = TimePoint::max();
  std::unordered_map<std::uint64_t, PendingRequest> requests_;
  std::unordered_map<std::uint64_t, std::uint64_t> requestIdsByClient_;
};

/// Enforces an equal share of every quota and ceiling, without a counter service.
class EvenQuotaGateway final : public AdmitAllGateway {
 public:
  using AdmitAllGateway::AdmitAllGateway;

 private:
  /// The units left in this gateway's share of a customer's quota and ceiling.
  struct QuotaShare {
    double level = 0;
    double ceiling = 0;
    TimePoint updatedAt;
  };
  bool isAdmitted(TimePoint now, const Request& request) override {
    const Plan& plan = settings_.plans[request.plan.value];
    const double share = 1.0 / std::max(1u, request.gateways);
    // The ceiling's bucket starts empty, because the units that an earlier incarnation sent are not known.
    QuotaShare& quota =
        shares_.try_emplace(request.customer.value, QuotaShare{plan.burst * share, 0, now}).first->second;
    const double refillSeconds = seconds(now - quota.updatedAt) * share;
    quota.level = std::min(std::max(plan.burst * share, settings_.maxUnits.value_or(kDefaultUnits)),
                           quota.level + plan.rate * refillSeconds);
    quota.ceiling = std::min(plan.ceilingBurst * share, quota.ceiling + plan.ceilingRate * refillSeconds);
    quota.updatedAt = now;
    if (plan.rate > 0 && quota.level < request.units) return false;
    if (plan.ceilingRate > 0 && quota.ceiling < request.units) return false;
    quota.level -= request.units;
    quota.ceiling -= request.units;
    return true;
  }
  std::map<std::uint64_t, QuotaShare> shares_;
};

/// Decides by the true state of every quota and host.
class OmniscientGateway final : public AdmitAllGateway {
 public:
  OmniscientGateway(const config::GatewayConfig& config, TimePoint now, core::DeadlineQueue& deadlines,
                    core::Transport& transport, GroundTruth groundTruth)
      : AdmitAllGateway(config, now, deadlines, transport), groundTruth_(std::move(groundTruth)) {}

 private:
  bool isAdmitted(TimePoint, const Request& request) override {
    return groundTruth_.isInsideQuota(request.customer.value, request.plan.value, request.units);
  }
  std::optional<HostId> chooseHost(TimePoint) override {
    std::optional<HostId> best;
    double lowestLoad = 0;
    const std::size_t first = servingAddresses_.empty() ? 0 : random_.below(servingAddresses_.size());
    for (std::size_t i = 0; i < servingAddresses_.size(); ++i) {
      const std::size_t host = (first + i) % servingAddresses_.size();
      const double load = groundTruth_.load(servingAddresses_[host]);
      if (load < 0 || (best && load >= lowestLoad)) continue;
      best = HostId{static_cast<std::uint32_t>(host)};
      lowestLoad = load;
    }
    return best;
  }
  GroundTruth groundTruth_;
};

constexpr std::pair<std::string_view, Policy> kPolicies[] = {{"module", Policy::gatewayCore},
                                                             {"all", Policy::admitAll},
                                                             {"even", Policy::evenQuota},
                                                             {"truth", Policy::omniscient}};

}  // namespace

std::string_view wordOf(Policy policy) {
  return kPolicies[static_cast<std::size_t>(policy)].first;
}

std::optional<Policy> parsePolicy(std::string_view word) {
  for (const auto& [name, policy] : kPolicies)
    if (name == word) return policy;
  return std::nullopt;
}

std::unique_ptr<EmulatedGateway> makeGateway(Policy policy, const config::GatewayConfig& config,
                                             TimePoint now, core::DeadlineQueue& deadlines,
                                             core::Transport& transport, const GroundTruth& groundTruth) {
  switch (policy) {
    case Policy::gatewayCore:
      return std::make_unique<CoreGateway>(config, now, deadlines, transport);
    case Policy::admitAll:
      return std::make_unique<AdmitAllGateway>(config, now, deadlines, transport);
    case Policy::evenQuota:
      return std::make_unique<EvenQuotaGateway>(config, now, deadlines, transport);
    case Policy::omniscient:
      return std::make_unique<OmniscientGateway>(config, now, deadlines, transport, groundTruth);
  }
  return nullptr;
}

}  // namespace merlinbridge::emulator
