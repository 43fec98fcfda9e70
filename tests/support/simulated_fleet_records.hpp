#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "policy_api/decision_engine.hpp"

namespace merlinbridge::testing {

/// A host of a SimulatedFleet: its behaviour, which a test may change at any time, and what it has received.
struct SimulatedHost {
  ZoneId zone{};
  std::optional<TimePoint> startedAt;          ///< Empty if the slow start is long over.
  bool serving = true;                         ///< False if draining or removed from the endpoint list.
  double unitsPerSecond = 60;                  ///< Capacity after the slow start.
  Duration serviceTime{};                      ///< From the start of an attempt to its response.
  bool unresponsive = false;                   ///< Accepts attempts and never responds.
  bool unreachable = false;                    ///< Refuses connections.
  std::optional<std::uint32_t> failingMethod;  ///< Method to which it responds with an error.
  std::optional<std::uint32_t> rejectedPlan;   ///< Plan whose requests it rejects.
  LoadReport reportedLoad{};                   ///< Sent with each response.

  int attemptsInFlight = 0;
  int attemptsReceived = 0;
  std::deque<std::pair<TimePoint, double>>
      recentWork;  ///< Start and units of attempts in the overload window.
};

/// A client's request in a SimulatedFleet, with its outcome.
struct SimulatedRequest {
  Request request;
  std::uint32_t gateway = 0;  ///< The gateway that received it.
  int finalAnswers = 0;       ///< More than 1 is a fault, except after the gateway was killed.
  bool served = false;        ///< The final answer is a host's response.
  bool rejected = false;      ///< The final answer is a rejection.
  TimePoint arrivedAt{};
  TimePoint answeredAt{};

  std::uint32_t attemptsStarted = 0;
  int attemptsInFlight = 0;
  std::map<std::uint32_t, HostId> hostByAttempt;  ///< Hosts of the attempts in flight.
  std::vector<std::pair<HostId, TimePoint>>
      possibleExecutions;  ///< Ended attempts that may have been executed: host and start time.
};

}  // namespace merlinbridge::testing
