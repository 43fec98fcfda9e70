#pragma once

#include <optional>

#include "policy_api/decision_engine.hpp"

namespace merlinbridge::policy {

/// The load that a host reported with a response, in the form that outlier detection and load shedding use.
struct UsableLoad {
  double inFlight;            ///< Requests in flight at the host, 0 or more.
  double queued;              ///< Number of these requests that wait in its queue; 0 if not reported.
  double responsesPerSecond;  ///< Above 0.
};

/// Extracts the used fields of a load report; empty if the requests in flight or the response rate is
/// missing.
std::optional<UsableLoad> usableLoad(const LoadReport& report);

}  // namespace merlinbridge::policy
