#include "emulator/gateway_fleet.hpp"

namespace merlinbridge::emulator {

using core::SlotRef;

void GatewayFleet::startAll(const GatewayEnvironment& environment) {
  const Scenario& scenario = environment.run.scenario();
  config_ = scenario.config();
  const MakeGateway make = [this, environment](const config::EndpointList& known,
                                               core::DeadlineQueue& deadlines, core::Transport& transport) {
    return makeGatewayFor(environment, known, deadlines, transport);
  };
  for (std::uint32_t gateway = 0; gateway < scenario.gateways; ++gateway)
    processes_.emplace_back(environment, gateway, gateway % scenario.zones, make);
  for (GatewayProcess& process : processes_) process.start();
}

std::unique_ptr<EmulatedGateway> GatewayFleet::makeGatewayFor(const GatewayEnvironment& environment,
                                                              const config::EndpointList& known,
                                                              core::DeadlineQueue& deadlines,
                                                              core::Transport& transport) {
  config::GatewayConfig config = config_;
  config.seed = seeds_.bits48();
  config.knownEndpoints = known;
  RunContext& run = environment.run;
  const HostFleet& hosts = environment.hosts;
  const GroundTruth groundTruth{[&run](std::uint64_t customer, std::uint32_t plan, double units) {
                                  return run.checker().isWithinLimits(run.now(), customer, plan, units);
                                },
                                [&hosts](std::string_view address) { return hosts.loadOf(address); }};
  return factory_ ? factory_(config, run.now(), deadlines, transport, groundTruth)
                  : makeGateway(policy_, config, run.now(), deadlines, transport, groundTruth);
}

void GatewayFleet::startIfDown(std::uint32_t gateway) {
  GatewayProcess& process = processes_[gateway];
  if (!process.isRunning()) process.start();
}

void GatewayFleet::requestArrived(std::uint32_t gateway, SlotRef clientAttempt, const Request& request) {
  processes_[gateway].requestArrived(clientAttempt, request);
}

void GatewayFleet::clientDisconnected(std::uint32_t gateway, SlotRef clientAttempt) {
  processes_[gateway].clientDisconnected(clientAttempt);
}

void GatewayFleet::attemptEnded(const ProcessSlot& attempt, Outcome outcome) {
  if (isRunning(attempt.process)) processes_[attempt.process.gateway].attemptEnded(attempt.slot, outcome);
}

void GatewayFleet::hostDied(std::uint32_t host) {
  for (GatewayProcess& process : processes_) process.hostDied(host);
}

void GatewayFleet::counterCallEnded(const ProcessSlot& call, CounterCallOutcome outcome, double total) {
  if (isRunning(call.process)) processes_[call.process.gateway].counterCallEnded(call.slot, outcome, total);
}

void GatewayFleet::endpointsUpdated(std::uint32_t gateway, const config::EndpointList& endpoints) {
  processes_[gateway].endpointsUpdated(endpoints);
}

}  // namespace merlinbridge::emulator
