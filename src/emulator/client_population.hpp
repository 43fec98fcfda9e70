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

/// What clients reach of the gateways.
class RequestReceiver {
 public:
  virtual ~RequestReceiver() = default;
  /// The incarnation of the gateway's process that is running, or ran last.
  virtual ProcessRef processOf(std::uint32_t gateway) const = 0;
  /// Whether that incarnation of the process is running.
  virtual bool isRunning(const ProcessRef&) const = 0;
  /// A request has arrived. The gateway must be running.
  virtual void requestArrived(std::uint32_t gateway, core::SlotRef clientAttempt, const Request&) = 0;
  /// A client has closed its connection. The gateway must be running.
  virtual void clientDisconnected(std::uint32_t gateway, core::SlotRef clientAttempt) = 0;
};

/// Draws an index with a probability in proportion to its weight.
class WeightedChoice {
 public:
  void add(double weight) { sums_.push_back((sums_.empty() ? 0 : sums_.back()) + weight); }
  /// By a uniform draw from [0, 1).
  std::size_t indexFor(double draw) const;

 private:
  std::vector<double> sums_;  ///< Of the weights up to each index.
};

/// What a client wants done, over all its attempts.
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

/// The clients: when they send requests, which, and what they do about an answer, or about none.
class ClientPopulation {
 public:
  /// All arguments must outlive the population.
  ClientPopulation(RunContext&, std::uint64_t seed, Network&, const ActiveFaults&, const FrontLoadBalancer&,
                   RequestReceiver&);

  /// Schedules the first request; each one schedules the next.
  void start() { scheduleArrival(); }

  /// The id of an attempt that its gateway still serves; empty if the client has gone.
  std::optional<ClientAttemptId> idOf(core::SlotRef clientAttempt);
  /// The request of an attempt; null if either is over. Valid until the next event.
  const ClientRequest* requestOf(core::SlotRef clientAttempt);
  /// Whether the request's units were inside the customer's quota when a host got it.
  void setInsideQuota(core::SlotRef clientAttempt, bool inside);
  /// A gateway has written a final answer, which reaches the client a little later.
  void answerSent(core::SlotRef clientAttempt, Answer, Duration retryAfter);
  /// A gateway's process has ended: the connections to it are reset.
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
  /// The client stops waiting: of its own accord, or because the deadline has passed.
  void abandonRequest(core::SlotRef request, bool beforeDeadline);
  void closeConnection(core::SlotRef attempt);
  void receiveAnswer(core::SlotRef attempt, Answer, Duration retryAfter);
  void receiveResult(core::SlotRef attempt, const ClientRequest&);

  RunContext& run_;
  Network& network_;
  const ActiveFaults& faults_;
  const FrontLoadBalancer& loadBalancer_;
  RequestReceiver& gateways_;
  RandomStream arrivals_;  ///< When clients send requests, and which: the same for every policy.
  RandomStream choices_;   ///< What clients do in reply to what happens.
  WeightedChoice customers_;
  WeightedChoice methods_;
  WeightedChoice plans_;
  core::SlotTable<ClientRequest> requests_;
  core::SlotTable<ClientAttempt> attempts_;
  std::uint64_t lastAttemptId_ = 0;
};

}  // namespace merlinbridge::emulator
