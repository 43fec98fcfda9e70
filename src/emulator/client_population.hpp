#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "emulator/faults/active_faults.hpp"
#include "emulator/front_load_balancer.hpp"
#include "emulator/network.hpp"
#include "emulator/process_ref.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/run_context.hpp"

namespace merlinbridge::emulator {

/// The interface of the gateways that clients use.
class RequestReceiver {
 public:
  virtual ~RequestReceiver() = default;
  /// The current incarnation of the gateway's process, or the last one if the process is down.
  virtual ProcessRef processOf(std::uint32_t gateway) const = 0;
  /// Returns whether that incarnation of the process is running.
  virtual bool isRunning(const ProcessRef&) const = 0;
  /// A request has arrived. The gateway must be running.
  virtual void requestArrived(std::uint32_t gateway, core::SlotRef clientAttempt, const Request&) = 0;
  /// A client has closed its connection. The gateway must be running.
  virtual void clientDisconnected(std::uint32_t gateway, core::SlotRef clientAttempt) = 0;
};

/// Maps uniform random numbers to indexes, each with a probability proportional to its weight.
class WeightedChoice {
 public:
  void add(double weight) { sums_.push_back((sums_.empty() ? 0 : sums_.back()) + weight); }
  /// `draw`: a uniform random number from [0, 1).
  std::size_t indexFor(double draw) const;

 private:
  std::vector<double> sums_;  ///< Running sums of the weights, by index.
};

/// A client's request, with the state of all its attempts.
struct ClientRequest {
  std::uint64_t customer = 0;
  std::uint32_t plan = 0;
  std::uint32_t method = 0;
  double units = 0;
  TimePoint startedAt;
  TimePoint deadline;
  int attemptsLeft = 0;
  int attemptsMade = 0;
  core::SlotRef currentAttempt{};
};

/// The clients: decides when they send which requests, and how they react to answers and to missing answers.
class ClientPopulation {
 public:
  /// All arguments must outlive the population.
  ClientPopulation(RunContext&, std::uint64_t seed, Network&, const ActiveFaults&, const FrontLoadBalancer&,
                   RequestReceiver&);

  /// Schedules the first request; each one schedules the next.
  void start() { scheduleArrival(); }

  /// The id of an attempt that its gateway still serves; empty if the client has disconnected.
  std::optional<ClientAttemptId> idOf(core::SlotRef clientAttempt);
  /// The request of an attempt; nullptr if the attempt or the request has ended. Valid until the next event.
  const ClientRequest* requestOf(core::SlotRef clientAttempt);
  /// Records whether the request's units were inside the customer's quota when a host received it.
  void setInsideQuota(core::SlotRef clientAttempt, bool inside);
  /// A gateway has sent a final answer, which reaches the client after a network delay.
  void answerSent(core::SlotRef clientAttempt, Answer, Duration retryAfter);
  /// A gateway's process has ended; resets the connections to it.
  void gatewayDied(const ProcessRef&);

 private:
  struct ClientAttempt {
    core::SlotRef request;
    ClientAttemptId id;
    ProcessRef gateway;
    bool insideQuota = false;
  };
  enum class Retry { allowed, forbidden };

  void scheduleArrival();
  void sendRequest();
  double drawUnits();
  double utilityOf(const ClientRequest&) const;
  void startAttempt(core::SlotRef request);
  void reachGateway(core::SlotRef attempt);
  void endAttempt(core::SlotRef attempt, Retry, Duration retryAfter);
  Retry retryAfterFailure(const ClientRequest&) const;
  void failRequest(core::SlotRef request);
  void countFailure();
  /// The client stops waiting: by its own decision if `beforeDeadline`, else because the deadline has passed.
  void abandonRequest(core::SlotRef request, bool beforeDeadline);
  void closeConnection(core::SlotRef attempt);
  void receiveAnswer(core::SlotRef attempt, Answer, Duration retryAfter);
  void receiveResult(core::SlotRef attempt, const ClientRequest&);

  RunContext& run_;
  Network& network_;
  const ActiveFaults& faults_;
  const FrontLoadBalancer& loadBalancer_;
  RequestReceiver& gateways_;
  RandomStream arrivals_;  ///< When clients send which requests. The same for every policy.
  RandomStream choices_;   ///< How clients react to events.
  WeightedChoice customers_;
  WeightedChoice methods_;
  WeightedChoice plans_;
  core::SlotTable<ClientRequest> requests_;
  core::SlotTable<ClientAttempt> attempts_;
  std::uint64_t lastAttemptId_ = 0;
};

}  // namespace merlinbridge::emulator
