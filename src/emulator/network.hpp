#pragma once

#include <cstdint>

#include "emulator/faults/active_faults.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/scenario.hpp"

namespace merlinbridge::emulator {

/// The network between all parts of a run: how long a message takes, and which zones can reach each other.
/// No message is lost for good: as TCP retransmits a lost one, the loss only delays it.
class Network {
 public:
  /// Scenario and faults must outlive the network.
  Network(const Scenario& scenario, std::uint64_t seed, const ActiveFaults& faults)
      : scenario_(scenario), faults_(faults), random_(seed, "network") {}

  /// A random delay for one message.
  Duration delay();
  /// Whether two zones cannot reach each other.
  bool isPartitioned(std::uint32_t zoneA, std::uint32_t zoneB) const;
  /// Whether a response of the counter service is lost, at random.
  bool losesCounterResponse();

 private:
  const Scenario& scenario_;
  const ActiveFaults& faults_;
  RandomStream random_;
};

}  // namespace merlinbridge::emulator
