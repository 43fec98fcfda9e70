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

/// What a gateway process runs among. All of it outlives the process.
struct GatewayEnvironment {
  RunContext& run;
  Network& network;
  FrontLoadBalancer& loadBalancer;
  ClientPopulation& clients;
  HostFleet& hosts;
  CounterService& counter;
  DiscoveryService& discovery;
};

/// Makes the gateway that runs in a process, at each start of it.
using MakeGateway = std::function<std::unique_ptr<EmulatedGateway>(const config::EndpointList& known,
                                                                   core::DeadlineQueue&, core::Transport&)>;

/// One gateway process: the gateway inside, and around it what the sockets would be. Events that were
/// scheduled for an earlier incarnation of the process have no effect.
class GatewayProcess final : private core::Transport {
 public:
  GatewayProcess(const GatewayEnvironment&, std::uint32_t number, std::uint32_t zone, MakeGateway);

  /// The incarnation that runs, or ran last.
  ProcessRef ref() const { return {number_, incarnation_}; }
  bool isRunning() const { return state_ != State::down; }
  bool isRunning(std::uint64_t incarnation) const { return isRunning() && incarnation_ == incarnation; }

  /// Starts the process, which must be down.
  void start();
  /// Ends the process at once. Clients and hosts see their connections reset.
  void kill();
  /// SIGTERM: the process goes on until its requests are answered, ends, and starts again. No effect unless
  /// it runs and does not drain yet.
  void beginShutdown();

  void requestArrived(core::SlotRef clientAttempt, const Request&);
  void clientDisconnected(core::SlotRef clientAttempt);
  /// A host has answered an attempt, or its connection has ended; the gateway learns of it a little later.
  void attemptEnded(core::SlotRef attempt, Outcome);
  void counterCallEnded(core::SlotRef call, CounterCallOutcome, double total);
  void endpointsUpdated(const config::EndpointList&);
  /// The idle connections to that host have ended.
  void hostDied(std::uint32_t host) { idleConnections_.erase(host); }

 private:
  enum class State { down, ready, draining };
  enum class ConnectionState { connecting, open };
  /// An attempt that the gateway has out.
  struct UpstreamAttempt {
    RequestId requestId;
    AttemptNumber attemptNumber;
    core::SlotRef clientAttempt;
    ClientAttemptId clientAttemptId;
    std::uint32_t host = 0;
    std::uint64_t hostIncarnation = 0;
    ConnectionState connection = ConnectionState::connecting;
    std::optional<core::SlotRef> job{};  ///< At the host, once it has arrived there.
  };
  struct CounterCall {
    CounterKey key;
    TimePoint startedAt;
  };

  // core::Transport, for the gateway inside.
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
  /// Schedules the next run of the gateway's deadlines.
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
