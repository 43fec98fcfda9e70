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
  std::optional<TimePoint> startedAt;          ///< Empty: long ago, so that it is past its slow start.
  bool serving = true;                         ///< False: draining or gone from the endpoint list.
  double unitsPerSecond = 60;                  ///< Capacity after the slow start.
  Duration serviceTime{};                      ///< From the start of an attempt to its response.
  bool unresponsive = false;                   ///< Takes attempts and never answers.
  bool unreachable = false;                    ///< Refuses connections.
  std::optional<std::uint32_t> failingMethod;  ///< Method that it answers with an error.
  std::optional<std::uint32_t> rejectedPlan;   ///< Plan whose requests it rejects.
  LoadReport reportedLoad{};                   ///< Sent with each response.

  int attemptsInFlight = 0;
  int attemptsReceived = 0;
  std::deque<std::pair<TimePoint, double>>
      recentWork;  ///< Start and units of attempts in the overload window.
};

/// A client's request in a SimulatedFleet, with what has become of it.
struct SimulatedRequest {
  Request request;
  std::uint32_t gateway = 0;  ///< The gateway that received it.
  int finalAnswers = 0;       ///< One more than 1 is a fault, except after the gateway was killed.
  bool served = false;        ///< The final answer is a host's response.
  bool rejected = false;      ///< The final answer is a rejection.
  TimePoint arrivedAt{};
  TimePoint answeredAt{};

  std::uint32_t attemptsStarted = 0;
  int attemptsInFlight = 0;
  std::map<std::uint32_t, HostId> hostByAttempt;  ///< Of the attempts in flight.
  std::vector<std::pair<HostId, TimePoint>>
      possibleExecutions;  ///< Ended attempts that may have run, by start.
};

}  // namespace merlinbridge::testing
