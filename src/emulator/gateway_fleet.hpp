#pragma once

#include <cstdint>
#include <deque>

#include "emulator/gateway_process.hpp"

namespace merlinbridge::emulator {

/// All gateway processes, by number. Forwards each event to its process; the end of an attempt or of a
/// counter call is dropped if the incarnation that started it has ended.
class GatewayFleet final : public RequestReceiver,
                           public HostObserver,
                           public CounterCaller,
                           public EndpointSubscriber {
 public:
  /// A non-empty `factory` creates the gateways in place of the policy's own. It must outlive the fleet.
  GatewayFleet(std::uint64_t seed, Policy policy, const GatewayFactory& factory)
      : policy_(policy), factory_(factory), seeds_(seed, "lives") {}

  /// Starts all gateways of the scenario. Called once, before any other function.
  void startAll(const GatewayEnvironment&);
  std::uint32_t size() const { return static_cast<std::uint32_t>(processes_.size()); }
  void kill(std::uint32_t gateway) { processes_[gateway].kill(); }
  void startIfDown(std::uint32_t gateway);
  void beginShutdown(std::uint32_t gateway) { processes_[gateway].beginShutdown(); }

  ProcessRef processOf(std::uint32_t gateway) const override { return processes_[gateway].ref(); }
  bool isRunning(const ProcessRef& process) const override {
    return processes_[process.gateway].isRunning(process.incarnation);
  }
  void requestArrived(std::uint32_t gateway, core::SlotRef clientAttempt, const Request&) override;
  void clientDisconnected(std::uint32_t gateway, core::SlotRef clientAttempt) override;
  void attemptEnded(const ProcessSlot& attempt, Outcome) override;
  void hostDied(std::uint32_t host) override;
  void counterCallEnded(const ProcessSlot& call, CounterCallOutcome, double total) override;
  void endpointsUpdated(std::uint32_t gateway, const config::EndpointList&) override;

 private:
  /// Creates the gateway for one incarnation of a process, with a seed of its own.
  std::unique_ptr<EmulatedGateway> makeGatewayFor(const GatewayEnvironment&,
                                                  const config::EndpointList& known, core::DeadlineQueue&,
                                                  core::Transport&);

  const Policy policy_;
  const GatewayFactory& factory_;
  RandomStream seeds_;
  config::GatewayConfig config_;
  std::deque<GatewayProcess> processes_;
};

}  // namespace merlinbridge::emulator
