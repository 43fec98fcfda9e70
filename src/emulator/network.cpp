#include "emulator/network.hpp"

namespace merlinbridge::emulator {
namespace {

/// Delay that the first retransmission adds to a message; each further one adds twice as much as the last.
constexpr Duration kRetransmitDelay = std::chrono::milliseconds(200);
constexpr int kMaxRetransmissions = 6;

}  // namespace

Duration Network::delay() {
  const double factor = faults_.factor(FaultKind::netSlow);
  const double passes = faults_.survival(FaultKind::netLoss, 1 - scenario_.loss);
  Duration delay = scaled(scenario_.delay, factor) + scaled(scenario_.jitter, random_.uniform01() * factor);
  if (passes >= 1) return delay;
  for (int i = 0; i < kMaxRetransmissions && random_.bernoulli(1 - passes); ++i)
    delay += kRetransmitDelay * (1 << i);
  return delay;
}

bool Network::isPartitioned(std::uint32_t zoneA, std::uint32_t zoneB) const {
  return zoneA != zoneB && faults_.any(FaultKind::zoneCut, [=](const ActiveFault& fault) {
    return fault.zone == zoneA || fault.zone == zoneB;
  });
}

bool Network::losesCounterResponse() {
  const double passes = faults_.survival(FaultKind::counterLose, 1);
  return passes < 1 && !random_.bernoulli(passes);
}

}  // namespace merlinbridge::emulator
