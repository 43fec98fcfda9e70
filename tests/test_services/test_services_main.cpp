// Hosts, a counter service and discovery on loopback, to try a gateway manually. Writes the
// gateway's configuration and serves until SIGINT, SIGTERM or the end of --seconds.
#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

#include "counter_service.hpp"
#include "discovery_service.hpp"
#include "service_host.hpp"

namespace merlinbridge::test_services {
namespace {

struct Options {
  std::string configFile = "/tmp/merlinbridge-config.json";
  std::uint16_t port = 8080;
  int hosts = 3;
  int seconds = 600;
};

constexpr int kMaxHosts = 100;
constexpr Duration kWork = std::chrono::milliseconds(20);
constexpr Duration kCounterServiceTime = std::chrono::microseconds(200);
constexpr ServiceHost::Capacity kCapacity{4, 64};

/// One method, and one plan of five units a second with a burst of twenty.
constexpr std::string_view kSettings =
    R"({"siblings":1,"requestClasses":[{"name":"read","effect":"free","promise":600000,"hardLimit":2000000}],)"
    R"("tariffs":[{"name":"small","unitsPerS":5,"storeSize":20}],)"
    R"("familyInfo":{"hasCounter":true,"countLimit":50000,"largest":8},)"
    R"("limits":{"connectTimeout":250000,"connIdle":30000000,"cancel":true,"tryLimit":3,"retryAfter":true,)"
    R"("maxRetryAfter":1000000},"rules":{"startCapacity":0.2,"tipMultiple":3,"cold":1000000,"fall":1000000,)"
    R"("answerSlack":16000}})";

using Hosts = std::vector<std::unique_ptr<ServiceHost>>;

std::string endpointList(const Hosts& hosts) {
  std::string entries;
  for (std::size_t index = 0; index < hosts.size(); ++index)
    entries += fmt::format(
        R"({}{{"instanceId":"host-{}","hostPort":"{}","zone":"a","machineType":"m","cell":0,"lifecycle":"in_service","startedAtMs":0}})",
        index > 0 ? "," : "", index, hosts[index]->address());
  return fmt::format(R"({{"generation":1,"reset":true,"instances":[{}]}})", entries);
}

void writeConfiguration(const Options& options, const std::string& discovery, const std::string& counter,
                        const std::string& endpoints) {
  std::ofstream(options.configFile) << fmt::format(
      R"({{"name":"try","listen":"127.0.0.1:{}","discovery":"{}","counter":"{}","seed":"1","limits":{{"sockets":256}},"known":{},"settings":{}}})",
      options.port, discovery, counter, endpoints, kSettings);
  std::cout << "configuration: " << options.configFile << ", gateway's address: 127.0.0.1:" << options.port
            << std::endl;
}

void serve(const Options& options) {
  asio::io_context io;
  Hosts hosts;
  for (int index = 0; index < options.hosts; ++index)
    hosts.push_back(std::make_unique<ServiceHost>(io, kCapacity, ServiceHost::LoadReports::inHeader,
                                                  [](std::string_view) { return kWork; }));
  const std::string endpoints = endpointList(hosts);
  CounterService counter(io, kCounterServiceTime);
  DiscoveryService discovery(io);
  discovery.publish(endpoints);
  writeConfiguration(options, discovery.address(), counter.address(), endpoints);
  asio::signal_set signals(io, SIGINT, SIGTERM);
  signals.async_wait([&io](const Error&, int) { io.stop(); });
  io.run_for(std::chrono::seconds(options.seconds));
  for (std::size_t index = 0; index < hosts.size(); ++index)
    std::cout << "host-" << index << " answered " << hosts[index]->answered() << " requests\n";
}

}  // namespace
}  // namespace merlinbridge::test_services

int main(int argc, char** argv) {
  using namespace merlinbridge::test_services;
  Options options;
  CLI::App app{"merlinbridge_test_services: hosts, a counter service and discovery on loopback"};
  app.add_option("--config", options.configFile, "file to which the gateway's configuration is written")
      ->capture_default_str();
  app.add_option("--port", options.port, "port on which the gateway will listen")->capture_default_str();
  app.add_option("--hosts", options.hosts, "number of hosts")
      ->capture_default_str()
      ->check(CLI::Range(0, kMaxHosts));
  app.add_option("--seconds", options.seconds, "run time in seconds")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  serve(options);
}
