#include "emulator/gateway_fleet.hpp"

namespace merlinbridge::emulator {

using core::SlotRef;

void GatewayFleet::startAll(const GatewaySurroundings& surroundings) {
  const Scenario& scenario = surroundings.run.scenario();
  config_ = scenario.config();
  const MakeGateway make = [this, surroundings](const config::EndpointList& known,
                                                core::DeadlineQueue& deadlines, core::Transport& transport) {
    return makeGatewayFor(surroundings, known, deadlines, transport);
  };
  for (std::uint32_t gateway = 0; gateway < scenario.gateways; ++gateway)
    processes_.emplace_back(surroundings, gateway, gateway % scenario.zones, make);
  for (GatewayProcess& process : processes_) process.start();
}

std::unique_ptr<EmulatedGateway> GatewayFleet::makeGatewayFor(const GatewaySurroundings& surroundings,
                                                              const config::EndpointList& known,
                                                              core::DeadlineQueue& deadlines,
                                                              core::Transport& transport) {
  config::GatewayConfig config = config_;
  config.seed = seeds_.bits48();
  config.knownEndpoints = known;
  RunContext& run = surroundings.run;
  const HostFleet& hosts = surroundings.hosts;
  const Truth truth{[&run](std::uint64_t customer, std::uint32_t plan, double units) {
                      return run.checker().isWithinLimits(run.now(), customer, plan, units);
                    },
                    [&hosts](std::string_view address) { return hosts.loadOf(address); }};
  return factory_ ? factory_(config, run.now(), deadlines, transport, truth)
                  : makeGateway(policy_, config, run.now(), deadlines, transport, truth);
}

void GatewayFleet::startIfDown(std::uint32_t gateway) {
  GatewayProcess& process = processes_[gateway];
  if (!process.isRunning()) process.start();
}

void GatewayFleet::requestArrived(std::uint32_t gateway, SlotRef clientAttempt, const Request& request) {
  processes_[gateway].requestArrived(clientAttempt, request);
}

void GatewayFleet::clientLeft(std::uint32_t gateway, SlotRef clientAttempt) {
  processes_[gateway].clientLeft(clientAttempt);
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
