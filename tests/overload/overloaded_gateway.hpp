#pragma once

#include <cstddef>
#include <string>

#include "background_clients.hpp"
#include "background_hosts.hpp"
#include "program.hpp"

/// \file
/// The program with the least memory that operators may give it, and hosts that answer by themselves.
namespace merlinbridge::testing {

inline constexpr std::size_t kMemoryMegabytes = 32;
inline constexpr std::size_t kDescriptors = 1024;
inline constexpr std::size_t kKilobytesPerMegabyte = 1024;

/// A gateway process with its limits in the configuration, four hosts that answer after a delay, and
/// discovery and the counter service that accept connections and say nothing.
struct OverloadedGateway {
  explicit OverloadedGateway(Duration hostDelay = std::chrono::milliseconds(2),
                             const std::string& hostResponse = okResponse("served"),
                             std::size_t maxDescriptors = kDescriptors)
      : descriptors(maxDescriptors), hosts(4, hostDelay, hostResponse) {
    start();
  }
  OverloadedGateway(Duration hostDelay, BackgroundHosts::Respond respond)
      : hosts(4, hostDelay, std::move(respond)) {
    start();
  }
  void start() {
    program.start(config(hosts.endpoints()));
    REQUIRE(program.logHolds("info: ready"));
  }

  /// The configuration with `endpoints`.
  std::string config(const std::string& endpoints) const {
    const std::string limits = "\"limits\":{\"memory_mb\":" + std::to_string(kMemoryMegabytes) +
                               ",\"sockets\":" + std::to_string(descriptors) + "}";
    return replaceOnce(program.config(endpoints), "\"limits\":{\"sockets\":128}", limits);
  }
  /// Whether the process still runs and never held more memory than its configuration allows.
  bool keptMemoryLimit() {
    const std::size_t peak = program.peakResidentKilobytes();
    UNSCOPED_INFO("peak resident memory " << peak << " kB");
    return program.isRunning() && peak > 0 && peak <= kMemoryMegabytes * kKilobytesPerMegabyte;
  }

  const std::size_t descriptors = kDescriptors;
  BackgroundHosts hosts;
  Program program;
};

}  // namespace merlinbridge::testing
