#pragma once

#include <cstdint>

#include "emulator/faults/active_faults.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/scenario.hpp"

namespace merlinbridge::emulator {

/// The network between all parts: how long a message takes, and which zones reach each other. Messages are
/// never lost for good; TCP sends a lost one again, which delays it.
class Network {
 public:
  /// Scenario and faults must outlive the network.
  Network(const Scenario& scenario, std::uint64_t seed, const ActiveFaults& faults)
      : scenario_(scenario), faults_(faults), random_(seed, "network") {}

  /// Draws the time that one message takes.
  Duration delay();
  /// Whether two zones cannot reach each other.
  bool isPartitioned(std::uint32_t zoneA, std::uint32_t zoneB) const;
  /// Draws whether an answer of the counter service is lost.
  bool losesCounterResponse();

 private:
  const Scenario& scenario_;
  const ActiveFaults& faults_;
  RandomStream random_;
};

}  // namespace merlinbridge::emulator
