// Hosts, a counter service and discovery on loopback, for trying a gateway by hand. Writes the gateway's
// configuration and serves until Ctrl-C, or until its time is up.
#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>

#include "test_services.hpp"

namespace merlinbridge::test_services {
namespace {

struct Options {
  std::string configFile = "/tmp/merlinbridge-config.json";
  std::uint16_t port = 8080;
  int hosts = 3;
  int seconds = 600;
};

constexpr Duration kWork = std::chrono::milliseconds(20);
constexpr int kCores = 4, kQueue = 64;

/// One method, and one plan of five units a second with a burst of twenty.
constexpr std::string_view kSettings =
    R"({"siblings":1,"requestClasses":[{"name":"read","effect":"free","promise":600000,"hardLimit":2000000}],)"
    R"("tariffs":[{"name":"small","unitsPerS":5,"storeSize":20}],)"
    R"("familyInfo":{"hasCounter":true,"countLimit":50000,"largest":8},)"
    R"("limits":{"connectTimeout":250000,"connIdle":30000000,"cancel":true,"tryLimit":3,"retryAfter":true,)"
    R"("maxRetryAfter":1000000},"rules":{"startCapacity":0.2,"tipMultiple":3,"cold":1000000,"fall":1000000,)"
    R"("answerSlack":16000}})";

int serve(const Options& options) {
  asio::io_context io;
  std::vector<std::unique_ptr<Host>> hosts;
  std::string list;
  for (int h = 0; h < options.hosts; ++h) {
    hosts.push_back(std::make_unique<Host>(io, kCores, kQueue, true, [](std::string_view) { return kWork; }));
    list += fmt::format(
        R"({}{{"instanceId":"host-{}","hostPort":"{}","zone":"a","machineType":"m","cell":0,"lifecycle":"in_service","startedAtMs":0}})",
        h ? "," : "", h, hosts.back()->address());
  }
  const std::string endpoints = fmt::format(R"({{"generation":1,"reset":true,"instances":[{}]}})", list);
  Counter counter(io, std::chrono::microseconds(200));
  Discovery discovery(io);
  discovery.tell(endpoints);
  std::ofstream(options.configFile) << fmt::format(
      R"({{"name":"try","listen":"127.0.0.1:{}","discovery":"{}","counter":"{}","seed":"1","limits":{{"sockets":256}},"known":{},"settings":{}}})",
      options.port, discovery.address(), counter.address(), endpoints, kSettings);
  std::cout << "configuration: " << options.configFile << ", gateway's address: 127.0.0.1:" << options.port
            << std::endl;
  asio::signal_set ends(io, SIGINT, SIGTERM);
  ends.async_wait([&io](const Error&, int) { io.stop(); });
  io.run_for(std::chrono::seconds(options.seconds));
  for (std::size_t h = 0; h < hosts.size(); ++h)
    std::cout << "host-" << h << " answered " << hosts[h]->served << " requests\n";
  return 0;
}

}  // namespace
}  // namespace merlinbridge::test_services

int main(int argc, char** argv) {
  merlinbridge::test_services::Options options;
  CLI::App app{"merlinbridge_test_services: hosts, a counter service and discovery on loopback"};
  app.add_option("--config", options.configFile, "where the gateway's configuration is written")
      ->capture_default_str();
  app.add_option("--port", options.port, "where the gateway is to listen")->capture_default_str();
  app.add_option("--hosts", options.hosts, "how many hosts")
      ->capture_default_str()
      ->check(CLI::Range(0, 100));
  app.add_option("--seconds", options.seconds, "ends after so long")->capture_default_str();
  CLI11_PARSE(app, argc, argv);
  return merlinbridge::test_services::serve(options);
}
