#pragma once

#include <array>
#include <string_view>
#include <utility>

#include "emulator/scenario.hpp"

/// Names of enum values in scenario files, for reading and writing.
namespace merlinbridge::emulator {

inline constexpr std::array kFaultKindNames = std::to_array<std::pair<std::string_view, FaultKind>>({
    {"gateway_kill", FaultKind::gatewayKill},
    {"gateway_restart", FaultKind::gatewayRestart},
    {"host_kill", FaultKind::hostKill},
    {"host_hang", FaultKind::hostHang},
    {"host_slow", FaultKind::hostSlow},
    {"host_err", FaultKind::hostErr},
    {"host_vanish", FaultKind::hostVanish},
    {"host_replace", FaultKind::hostReplace},
    {"zone_cut", FaultKind::zoneCut},
    {"zone_loss", FaultKind::zoneLoss},
    {"discovery_down", FaultKind::discoveryDown},
    {"discovery_late", FaultKind::discoveryLate},
    {"discovery_refuse", FaultKind::discoveryRefuse},
    {"discovery_mangle", FaultKind::discoveryMangle},
    {"counter_down", FaultKind::counterDown},
    {"counter_slow", FaultKind::counterSlow},
    {"counter_empty", FaultKind::counterEmpty},
    {"counter_split", FaultKind::counterSplit},
    {"counter_lose", FaultKind::counterLose},
    {"net_loss", FaultKind::netLoss},
    {"net_slow", FaultKind::netSlow},
    {"load_burst", FaultKind::loadBurst},
});
inline constexpr std::array kIdempotencyNames =
    std::to_array<std::pair<std::string_view, Idempotency>>({{"idempotent", Idempotency::idempotent},
                                                             {"deduplicated", Idempotency::deduplicated},
                                                             {"non-idempotent", Idempotency::nonIdempotent}});
inline constexpr std::array kDeduplicationScopeNames =
    std::to_array<std::pair<std::string_view, DeduplicationScope>>({{"all", DeduplicationScope::all},
                                                                    {"zone", DeduplicationScope::zone},
                                                                    {"cell", DeduplicationScope::cell}});

/// The name of a value in one of these tables; empty if the table does not contain it.
template <class Value, class Names>
std::string_view nameIn(const Names& names, Value value) {
  for (const auto& [name, each] : names)
    if (each == value) return name;
  return {};
}

}  // namespace merlinbridge::emulator
