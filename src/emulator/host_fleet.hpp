#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/endpoint_list.hpp"
#include "emulator/process_ref.hpp"
#include "emulator/random_stream.hpp"
#include "emulator/run_context.hpp"

namespace merlinbridge::emulator {

class ActiveFaults;

/// Receives the events of the hosts that concern gateways.
class HostObserver {
 public:
  virtual ~HostObserver() = default;
  /// A host has answered an attempt, or its connection has ended. The attempt may have been closed already.
  virtual void attemptEnded(const ProcessSlot& attempt, Outcome) = 0;
  /// The host's process has ended, and with it all connections to it.
  virtual void hostDied(std::uint32_t host) = 0;
};

/// The hosts. Each executes at most as many requests at a time as it has cores, queues a bounded number of
/// further requests, and is slower during its slow start. A host is identified by its number, counted from 0
/// in the order in which hosts are added; the number is also its address.
class HostFleet {
 public:
  /// When a host started.
  enum class Start { longBeforeRun, now };
  /// An attempt whose request has arrived at a host.
  struct AttemptArrival {
    std::uint32_t host = 0;
    ProcessSlot attempt;
    ClientAttemptId clientAttemptId;
    AttemptNumber attemptNumber;
    std::uint32_t method = 0;
    bool startAnnounced = false;  ///< Whether the gateway has received the host's start time from discovery.
  };

  /// Context, faults and observer must outlive the fleet.
  HostFleet(RunContext&, std::uint64_t seed, const ActiveFaults&, HostObserver&);

  std::uint32_t size() const { return static_cast<std::uint32_t>(hosts_.size()); }
  std::uint32_t zoneOf(std::uint32_t host) const { return hosts_[host].zone; }
  std::int64_t cellOf(std::uint32_t host) const { return hosts_[host].cell; }
  std::uint64_t incarnationOf(std::uint32_t host) const { return hosts_[host].incarnation; }
  bool isUp(std::uint32_t host) const { return hosts_[host].state == State::up; }
  bool isUp(std::uint32_t host, std::uint64_t incarnation) const {
    return isUp(host) && hosts_[host].incarnation == incarnation;
  }
  bool isDown(std::uint32_t host) const { return hosts_[host].state == State::down; }
  /// Whether the host has been removed for good.
  bool isRemoved(std::uint32_t host) const { return hosts_[host].state == State::removed; }
  bool isDraining(std::uint32_t host) const { return hosts_[host].draining; }
  /// Whether the host sends nothing, neither on existing connections nor on new ones.
  bool isUnresponsive(std::uint32_t host) const;
  /// Whether the host started during the run. Only then does discovery list its start time.
  bool startedDuringRun(std::uint32_t host) const { return hosts_[host].startedDuringRun; }
  /// The host as discovery lists it.
  config::Endpoint endpointOf(std::uint32_t host) const;
  /// The host with that address.
  static std::uint32_t numberOf(std::string_view address);
  /// Requests in flight divided by the host's current speed; below 0 if the host cannot serve now.
  double loadOf(std::string_view address) const;
  /// The load report that the host adds to a response.
  LoadReport loadReport(std::uint32_t host) const;

  /// Adds a host and returns its number.
  std::uint32_t add(std::uint32_t zone, Start);
  void beginDrain(std::uint32_t host) { hosts_[host].draining = true; }
  /// Ends the host's process, if it is up; attempts in flight end with Outcome::lost.
  void kill(std::uint32_t host);
  /// Ends the host's process and removes it for good.
  void remove(std::uint32_t host);
  /// Restarts the host's process, which begins a new slow start. No effect on a removed host.
  void start(std::uint32_t host);
  /// A host that hung resumes its running jobs, unless another fault still makes it hang.
  void resume(std::uint32_t host);

  /// Accepts a new connection. Returns false if the host refuses it.
  bool openConnection(std::uint32_t host);
  /// The gateway has closed that many connections. No effect on a host that is not up.
  void connectionsClosed(std::uint32_t host, std::size_t count);
  /// Submits a request to a host. Returns its job, or the outcome if the attempt ended at once.
  std::variant<core::SlotRef, Outcome> submit(const AttemptArrival&);
  /// The gateway has closed the connection of that job. No effect if the job has ended.
  void cancel(core::SlotRef job);

 private:
  enum class State {
    up,
    down,    ///< The host's process has ended and may be restarted.
    removed  ///< The host has been removed for good.
  };
  struct EmulatedHost {
    std::uint32_t zone = 0;
    std::int64_t cell = 0;
    std::string name;
    TimePoint startedAt;
    bool startedDuringRun = false;
    State state = State::up;
    bool draining = false;
    std::uint64_t incarnation = 1;
    int running = 0;
    int connections = 0;
    std::deque<core::SlotRef> queue{};
    double recentResponses = 0;  ///< Exponentially decaying count; time constant 1 s.
    TimePoint lastResponseAt{};
  };
  struct Job {
    std::uint32_t host = 0;
    ProcessSlot attempt;
    ClientAttemptId clientAttemptId;
    AttemptNumber attemptNumber;
    Duration work{};
    bool running = false;
  };

  double speedFactor(const EmulatedHost&) const;
  bool isHanging(std::uint32_t host) const;
  bool isOverloadedBy(const AttemptArrival&, Duration work);
  void run(core::SlotRef job);
  void finish(core::SlotRef job);
  void startQueued(std::uint32_t host);

  RunContext& run_;
  const ActiveFaults& faults_;
  HostObserver& observer_;
  RandomStream random_;
  std::vector<EmulatedHost> hosts_;
  core::SlotTable<Job> jobs_;
};

}  // namespace merlinbridge::emulator
