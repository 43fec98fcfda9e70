#include "loopback_run.hpp"

#include <memory>
#include <vector>

#include "counter_service.hpp"
#include "daemon_processes.hpp"
#include "discovery_service.hpp"
#include "emulator/random_stream.hpp"
#include "lab/lab_error.hpp"
#include "platform_settings.hpp"
#include "service_host.hpp"
#include "validation_clients.hpp"

namespace merlinbridge::test_services {
namespace {

using emulator::Metrics;
using emulator::Scenario;

/// Time for the daemons to start and to receive the endpoint list, before the clients start.
constexpr std::chrono::milliseconds kStartTime{500};
/// Time after the last deadline at which a run ends even if a client still waits for a response.
constexpr std::chrono::seconds kEndMargin{2};
constexpr std::chrono::milliseconds kPollInterval{20};
/// Number of cells over which the hosts are distributed, as in the emulator.
constexpr std::uint32_t kCells = 8;

using Hosts = std::vector<std::unique_ptr<ServiceHost>>;

Hosts makeHosts(asio::io_context& io, const Scenario& scenario, emulator::RandomStream& workStream) {
  const auto reports =
      scenario.reportsLoad ? ServiceHost::LoadReports::inHeader : ServiceHost::LoadReports::none;
  const auto workOf = [&scenario, &workStream](std::string_view name) {
    for (const auto& method : scenario.methods)
      if (method.name == name) return scaled(method.work, 0.5 + workStream.exponential(0.5));
    return Duration{0};
  };
  Hosts hosts;
  for (std::uint32_t index = 0; index < scenario.hosts; ++index)
    hosts.push_back(std::make_unique<ServiceHost>(
        io, ServiceHost::Capacity{scenario.cores, scenario.queueCapacity}, reports, workOf));
  return hosts;
}

std::string endpointList(const Hosts& hosts, std::uint32_t zones) {
  std::string entries;
  for (std::size_t index = 0; index < hosts.size(); ++index)
    entries += fmt::format(
        R"({}{{"instanceId":"h{}","hostPort":"{}","zone":"z{}","machineType":"m","cell":{},"lifecycle":"in_service","weight":1,"startedAtMs":0}})",
        index > 0 ? "," : "", index, hosts[index]->address(), index % zones, index % kCells);
  return fmt::format(R"({{"generation":1,"reset":true,"instances":[{}]}})", entries);
}

std::uint16_t freePort() {
  asio::io_context io;
  return Tcp::acceptor(io, Tcp::endpoint(asio::ip::address_v4::loopback(), 0)).local_endpoint().port();
}

/// The part of the configuration that is the same for all daemons of a run.
struct Environment {
  std::string discovery;
  std::string counter;
  std::string endpoints;
};

std::string configurationOf(const Scenario& scenario, std::uint64_t seed, std::uint32_t gateway,
                            std::uint16_t port, const Environment& environment) {
  const std::string counter =
      scenario.hasCounter ? fmt::format(R"("counter":"{}",)", environment.counter) : "";
  return fmt::format(
      R"({{"name":"n{}","listen":"127.0.0.1:{}","discovery":"{}","seed":"{:x}","limits":{{"sockets":1024}},{}"known":{},"settings":{}}})",
      gateway, port, environment.discovery, seed * 1000 + gateway, counter, environment.endpoints,
      platformSettings(scenario, gateway));
}

}  // namespace

Metrics playOnLoopback(const Scenario& scenario, std::uint64_t seed, const std::string& program) {
  asio::io_context io;
  emulator::RandomStream workStream(seed, "works");
  const Hosts hosts = makeHosts(io, scenario, workStream);
  CounterService counter(io, scenario.counterServiceTime);
  DiscoveryService discovery(io);
  const Environment environment{discovery.address(), counter.address(), endpointList(hosts, scenario.zones)};
  discovery.publish(environment.endpoints);
  DaemonProcesses daemons(program);
  std::vector<Tcp::endpoint> gateways;
  for (std::uint32_t gateway = 0; gateway < scenario.gateways; ++gateway) {
    gateways.emplace_back(asio::ip::address_v4::loopback(), freePort());
    daemons.start(configurationOf(scenario, seed, gateway, gateways.back().port(), environment));
  }
  io.run_for(kStartTime);
  const ValidationClients clients(io, scenario, seed, gateways);
  const auto end = WallClock::now() + scenario.length + scenario.longestDeadline() + kEndMargin;
  while (WallClock::now() < end && !clients.finished()) io.run_for(kPollInterval);

  Metrics metrics = clients.metrics();
  for (const auto& host : hosts) {
    metrics.attempts += host->requests();
    metrics.newConnections += host->connections();
    metrics.unitsSent += host->units();
  }
  metrics.counterCalls = counter.calls();
  if (!daemons.terminate()) throw lab::LabError("a daemon did not exit with status 0 after SIGTERM");
  return metrics;
}

}  // namespace merlinbridge::test_services
