#include "emulator/host_fleet.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "emulator/faults/active_faults.hpp"

namespace merlinbridge::emulator {
namespace {

using core::SlotRef;

constexpr std::uint32_t kCells = 8;
/// A host that was already running at the start of the run had completed its slow start this long before.
constexpr Duration kUptimeAfterSlowStart = std::chrono::hours(1);

}  // namespace

HostFleet::HostFleet(RunContext& run, std::uint64_t seed, const ActiveFaults& faults, HostObserver& observer)
    : run_(run), faults_(faults), observer_(observer), random_(seed, "works") {}

bool HostFleet::isUnresponsive(std::uint32_t host) const {
  return faults_.affects(FaultKind::hostVanish, host);
}

bool HostFleet::isHanging(std::uint32_t host) const {
  return faults_.affects(FaultKind::hostHang, host);
}

config::Endpoint HostFleet::endpointOf(std::uint32_t host) const {
  const EmulatedHost& hostState = hosts_[host];
  config::Endpoint endpoint;
  endpoint.name = hostState.name;
  endpoint.address = std::to_string(host);
  endpoint.zone = fmt::format("z{}", hostState.zone);
  endpoint.machine = "m";
  endpoint.cell = hostState.cell;
  endpoint.serving = !hostState.draining && hostState.state != State::removed;
  endpoint.gone = hostState.state == State::removed;
  if (hostState.startedDuringRun) endpoint.started = hostState.startedAt.time_since_epoch();
  return endpoint;
}

std::uint32_t HostFleet::numberOf(std::string_view address) {
  std::uint32_t number = 0;
  std::from_chars(address.data(), address.data() + address.size(), number);
  return number;
}

double HostFleet::loadOf(std::string_view address) const {
  const std::uint32_t host = numberOf(address);
  const EmulatedHost& hostState = hosts_[host];
  if (hostState.state != State::up || hostState.draining || isUnresponsive(host) || isHanging(host))
    return -1;
  const double slowdown =
      faults_.affects(FaultKind::hostSlow, host) ? faults_.factor(FaultKind::hostSlow) : 1;
  return (hostState.running + double(hostState.queue.size())) * slowdown /
         (run_.scenario().cores * speedFactor(hostState));
}

LoadReport HostFleet::loadReport(std::uint32_t host) const {
  const EmulatedHost& hostState = hosts_[host];
  LoadReport load;
  load.inFlight = hostState.running + double(hostState.queue.size());
  load.queued = double(hostState.queue.size());
  load.responsesPerSecond = hostState.recentResponses;
  return load;
}

std::uint32_t HostFleet::add(std::uint32_t zone, Start start) {
  const std::uint32_t number = size();
  EmulatedHost host;
  host.zone = zone;
  host.cell = static_cast<std::int64_t>(number % kCells);
  host.name = fmt::format("h{}", number);
  host.startedDuringRun = start == Start::now;
  host.startedAt =
      host.startedDuringRun ? run_.now() : kRunStart - run_.scenario().slowStartTime - kUptimeAfterSlowStart;
  hosts_.push_back(std::move(host));
  return number;
}

void HostFleet::kill(std::uint32_t host) {
  EmulatedHost& hostState = hosts_[host];
  if (hostState.state != State::up) return;
  hostState.state = State::down;
  ++hostState.incarnation;
  hostState.running = 0;
  hostState.connections = 0;
  hostState.queue.clear();
  std::vector<SlotRef> ended;
  jobs_.forEach([&](SlotRef ref, const Job& job) {
    if (job.host == host) ended.push_back(ref);
  });
  for (const SlotRef ref : ended) {
    const ProcessSlot attempt = jobs_.find(ref)->attempt;
    jobs_.drop(ref);
    observer_.attemptEnded(attempt, Outcome::lost);
  }
  observer_.hostDied(host);
}

void HostFleet::remove(std::uint32_t host) {
  kill(host);
  hosts_[host].state = State::removed;
}

void HostFleet::start(std::uint32_t host) {
  EmulatedHost& hostState = hosts_[host];
  if (hostState.state == State::removed) return;
  hostState.state = State::up;
  ++hostState.incarnation;
  hostState.startedAt = run_.now();
  hostState.startedDuringRun = true;
}

void HostFleet::resume(std::uint32_t host) {
  if (isHanging(host)) return;
  std::vector<SlotRef> running;
  jobs_.forEach([&](SlotRef ref, const Job& job) {
    if (job.host == host && job.running) running.push_back(ref);
  });
  for (const SlotRef ref : running) run_.events().after(jobs_.find(ref)->work, [this, ref] { finish(ref); });
}

bool HostFleet::openConnection(std::uint32_t host) {
  EmulatedHost& hostState = hosts_[host];
  if (hostState.state != State::up || hostState.connections >= run_.scenario().maxConnectionsPerHost)
    return false;
  ++hostState.connections;
  return true;
}

void HostFleet::connectionsClosed(std::uint32_t host, std::size_t count) {
  EmulatedHost& hostState = hosts_[host];
  if (hostState.state == State::up) hostState.connections -= static_cast<int>(count);
}

std::variant<SlotRef, Outcome> HostFleet::submit(const AttemptArrival& arrival) {
  const Scenario& scenario = run_.scenario();
  const Duration work = scaled(scenario.methods[arrival.method].work, 0.5 + random_.exponential(0.5));
  if (isOverloadedBy(arrival, work)) {
    ++run_.metrics().hostsOverloaded;
    run_.trace(TraceEvent::hostOverloaded, arrival.host);
    kill(arrival.host);
    return Outcome::lost;
  }
  EmulatedHost& hostState = hosts_[arrival.host];
  if (hostState.running >= scenario.cores &&
      hostState.queue.size() >= static_cast<std::size_t>(scenario.queueCapacity))
    return Outcome::rejected;
  const SlotRef job = jobs_.add(
      Job{arrival.host, arrival.attempt, arrival.clientAttemptId, arrival.attemptNumber, work, false});
  if (hostState.running < scenario.cores)
    run(job);
  else
    hostState.queue.push_back(job);
  return job;
}

bool HostFleet::isOverloadedBy(const AttemptArrival& arrival, Duration work) {
  const EmulatedHost& hostState = hosts_[arrival.host];
  return hostState.startedDuringRun &&
         run_.checker().hostReceivedRequest(run_.now(), {arrival.host}, hostState.startedAt, work,
                                            arrival.startAnnounced);
}

void HostFleet::cancel(SlotRef ref) {
  const Job* const job = jobs_.find(ref);
  if (!job) return;
  const std::uint32_t host = job->host;
  const bool running = job->running;
  if (running && !run_.scenario().stopsCancelled && !isHanging(host)) return;
  jobs_.drop(ref);
  if (running) startQueued(host);
}

double HostFleet::speedFactor(const EmulatedHost& host) const {
  const Scenario& scenario = run_.scenario();
  if (scenario.slowStartTime <= Duration{0}) return 1;
  const double ramp =
      std::clamp(seconds(run_.now() - host.startedAt) / seconds(scenario.slowStartTime), 0.0, 1.0);
  return scenario.startCapacity + (1 - scenario.startCapacity) * ramp;
}

void HostFleet::run(SlotRef ref) {
  Job& job = *jobs_.find(ref);
  EmulatedHost& hostState = hosts_[job.host];
  job.running = true;
  ++hostState.running;
  run_.checker().executionStarted(run_.now(), job.clientAttemptId, job.attemptNumber.value, {job.host},
                                  hostState.zone, hostState.cell);
  if (isHanging(job.host)) return;
  const double slowdown = faults_.scaledFor(FaultKind::hostSlow, job.host, 1 / speedFactor(hostState));
  run_.events().after(scaled(job.work, slowdown), [this, ref] { finish(ref); });
}

void HostFleet::finish(SlotRef ref) {
  const Job* const found = jobs_.find(ref);
  if (!found) return;
  const Job job = *found;
  jobs_.drop(ref);
  const TimePoint now = run_.now();
  EmulatedHost& hostState = hosts_[job.host];
  hostState.recentResponses =
      hostState.recentResponses * std::exp(-seconds(now - hostState.lastResponseAt)) + 1;
  hostState.lastResponseAt = now;
  const bool failed = faults_.any(FaultKind::hostErr, [&](const ActiveFault& fault) {
    return fault.affects(job.host) && random_.bernoulli(fault.fault->factor);
  });
  if (!failed) run_.checker().responseSent(now, job.clientAttemptId, job.attemptNumber.value);
  observer_.attemptEnded(job.attempt, failed ? Outcome::error : Outcome::ok);
  startQueued(job.host);
}

// A core of the host has become free: starts the next queued jobs.
void HostFleet::startQueued(std::uint32_t host) {
  EmulatedHost& hostState = hosts_[host];
  --hostState.running;
  while (!hostState.queue.empty() && hostState.running < run_.scenario().cores) {
    const SlotRef job = hostState.queue.front();
    hostState.queue.pop_front();
    if (jobs_.find(job)) run(job);
  }
}

}  // namespace merlinbridge::emulator
