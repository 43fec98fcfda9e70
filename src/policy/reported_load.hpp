#pragma once

#include <optional>

#include "policy_api/decision_engine.hpp"

namespace merlinbridge::policy {

/// The load that a host stated with an answer, as outlier detection and load shedding use it.
struct UsableLoad {
  double inFlight;            ///< Requests in flight at the host, 0 or more.
  double queued;              ///< Requests of these that wait; 0 where not stated.
  double responsesPerSecond;  ///< Above 0.
};

/// The usable part of a load report; empty where the requests in flight or the answers per second are
/// missing.
std::optional<UsableLoad> usableLoad(const LoadReport& report);

}  // namespace merlinbridge::policy
