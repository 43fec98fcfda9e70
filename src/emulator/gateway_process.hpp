#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string_view>
#include <variant>

#include "emulator/client_population.hpp"
#include "emulator/counter_service.hpp"
#include "emulator/discovery_service.hpp"
#include "emulator/emulated_gateway.hpp"
#include "emulator/host_fleet.hpp"
#include "emulator/network.hpp"
#include "emulator/run_context.hpp"

namespace merlinbridge::emulator {

/// The parts of the run that a gateway process interacts with. All must outlive the process.
struct GatewayEnvironment {
  RunContext& run;
  Network& network;
  FrontLoadBalancer& loadBalancer;
  ClientPopulation& clients;
  HostFleet& hosts;
  CounterService& counter;
  DiscoveryService& discovery;
};

/// Creates the gateway that runs in a process; called at each start of the process.
using MakeGateway = std::function<std::unique_ptr<EmulatedGateway>(const config::EndpointList& known,
                                                                   core::DeadlineQueue&, core::Transport&)>;

/// One gateway process: a gateway, and the emulation of the sockets that it uses. Events that were scheduled
/// for an earlier incarnation of the process have no effect.
class GatewayProcess final : private core::Transport {
 public:
  GatewayProcess(const GatewayEnvironment&, std::uint32_t number, std::uint32_t zone, MakeGateway);

  /// The current incarnation, or the last one if the process is down.
  ProcessRef ref() const { return {number_, incarnation_}; }
  bool isRunning() const { return state_ != State::down; }
  bool isRunning(std::uint64_t incarnation) const { return isRunning() && incarnation_ == incarnation; }

  /// Starts the process, which must be down.
  void start();
  /// Ends the process at once and resets its connections to clients and hosts.
  void kill();
  /// Emulates SIGTERM: the process ends once its requests are answered, and restarts later. No effect if the
  /// process is down or already draining.
  void beginShutdown();

  void requestArrived(core::SlotRef clientAttempt, const Request&);
  void clientDisconnected(core::SlotRef clientAttempt);
  /// A host has answered an attempt, or its connection has ended; the gateway sees this after a
  /// network delay.
  void attemptEnded(core::SlotRef attempt, Outcome);
  void counterCallEnded(core::SlotRef call, CounterCallOutcome, double total);
  void endpointsUpdated(const config::EndpointList&);
  /// The host's process has ended, and with it all idle connections to it.
  void hostDied(std::uint32_t host) { idleConnections_.erase(host); }

 private:
  enum class State { down, ready, draining };
  enum class ConnectionState { connecting, open };
  /// An attempt in flight.
  struct UpstreamAttempt {
    RequestId requestId;
    AttemptNumber attemptNumber;
    core::SlotRef clientAttempt;
    ClientAttemptId clientAttemptId;
    std::uint32_t host = 0;
    std::uint64_t hostIncarnation = 0;
    ConnectionState connection = ConnectionState::connecting;
    std::optional<core::SlotRef> job{};  ///< The job at the host, once the request has arrived there.
  };
  struct CounterCall {
    CounterKey key;
    TimePoint startedAt;
  };

  // core::Transport, used by the gateway in the process.
  void sendResponse(core::SlotRef client, std::string_view body, std::string_view type) override;
  void sendRejection(core::SlotRef client, Duration retryAfter) override;
  void sendFailure(core::SlotRef client) override;
  std::variant<core::SlotRef, Outcome> startAttempt(RequestId, AttemptNumber, core::SlotRef client, HostId,
                                                    AttemptDeadline) override;
  bool closeAttempt(core::SlotRef client, AttemptNumber, core::SlotRef attempt) override;
  void addToCounter(const CounterKey&, double units, Duration keepFor) override;
  void hostUnavailable(HostId) override;
  void report(EngineEvent) override {}
  void endpointTableFull(std::string_view) override {}

  /// Schedules an event that has no effect if this incarnation of the process has ended by then.
  template <class Event>
  void whileRunning(Duration delay, Event event) {
    environment_.run.events().after(delay, [this, incarnation = incarnation_, event] {
      if (isRunning(incarnation)) event();
    });
  }
  /// Schedules an event for the next of the gateway's deadlines.
  void armTimer();
  void endWhenAnswered();
  ConnectionState takeConnection(std::uint32_t host);
  void reachHost(core::SlotRef attempt);
  void countUnits(const UpstreamAttempt&);
  bool isUnreachable(std::uint32_t host) const;
  void deliverOutcome(core::SlotRef attempt, Outcome, Duration delay);
  void finishAttempt(core::SlotRef attempt, Outcome, const core::UpstreamResponse&,
                     std::uint64_t hostIncarnation);
  void closeAtHost(const UpstreamAttempt&);

  GatewayEnvironment environment_;
  const std::uint32_t number_;
  const std::uint32_t zone_;
  const MakeGateway makeGateway_;
  State state_ = State::down;
  std::uint64_t incarnation_ = 0;
  core::DeadlineQueue deadlines_;
  TimePoint timerDueAt_ = TimePoint::max();
  std::unique_ptr<EmulatedGateway> gateway_;
  core::SlotTable<UpstreamAttempt> attempts_;
  core::SlotTable<CounterCall> counterCalls_;
  std::map<std::uint32_t, std::deque<TimePoint>> idleConnections_;  ///< By host: idle since, oldest first.
};

}  // namespace merlinbridge::emulator
