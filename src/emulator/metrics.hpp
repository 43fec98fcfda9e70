#pragma once

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "emulator/emulated_gateway.hpp"
#include "emulator/invariant_checker.hpp"

namespace merlinbridge::emulator {

/// Histogram of latencies from 10 us to 1000 s with a resolution of one percent. Longer latencies count
/// as the longest.
class LatencyHistogram {
 public:
  void add(Duration latency) {
    ++count_;
    max_ = std::max(max_, seconds(latency));
    bins_(std::max(seconds(latency), kMinSeconds));
  }
  std::uint64_t size() const { return count_; }
  /// The latency in seconds that the given share (0 to 1) of all latencies do not exceed; 0 if there are
  /// none.
  double quantile(double share) const;
  /// The longest latency in seconds.
  double max() const { return max_; }

 private:
  static constexpr double kMinSeconds = 1e-5;
  static constexpr double kMaxSeconds = 1e3;
  static constexpr unsigned kBins = 1852;  ///< Each one percent wide, over eight decades.
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis())) bins_ =
      boost::histogram::make_histogram(Axis(kBins, kMinSeconds, kMaxSeconds));
  std::uint64_t count_ = 0;
  double max_ = 0;
};

/// The metrics of one run; all are emulated, not measured on a network.
struct Metrics {
  // Client requests; each ends in exactly one of the four states below `requests`.
  std::uint64_t requests = 0;
  std::uint64_t inTime = 0;     ///< Served by the soft deadline.
  std::uint64_t late = 0;       ///< Served after it.
  std::uint64_t failed = 0;     ///< Not served when the client gave up.
  std::uint64_t abandoned = 0;  ///< The client disconnected of its own accord before the deadline.

  // Client attempts, and how those that were not served ended.
  std::uint64_t clientAttempts = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failedAnswers = 0;
  std::uint64_t gatewayUnreachable = 0;  ///< The gateway was down.

  // What the gateways did.
  std::uint64_t attempts = 0;        ///< To hosts.
  std::uint64_t retries = 0;         ///< Of the attempts, those after the first of their request.
  std::uint64_t newConnections = 0;  ///< Of the attempts, those on a new connection.
  std::uint64_t counterCalls = 0;
  std::uint64_t endpointUpdates = 0;  ///< Total number of host entries in all updates from discovery.
  std::uint64_t hostsOverloaded = 0;  ///< Hosts that failed from overload during slow start.

  double utilityOffered = 0;     ///< Sum of utility x price x units over all client requests.
  double utilityServed = 0;      ///< The same over the requests served within quota; late ones count half.
  double unitsSent = 0;          ///< Units that reached hosts.
  double unitsOverQuota = 0;     ///< Of them, those over the customer's quota.
  double worstWindow = 0;        ///< See InvariantChecker::worstWindow.
  double peakSlowStartLoad = 0;  ///< See InvariantChecker::peakSlowStartLoad.
  std::array<std::uint64_t, kInvariantCount> violations{};  ///< By Invariant.
  LatencyHistogram latency;                                 ///< Of client requests that were served.
  std::size_t maxInFlight = 0;
  std::uint64_t events = 0;
  std::uint64_t fingerprint = 0;  ///< Hash of all events in order; equal runs have equal ones.

  /// The metrics of one second of the run.
  struct Second {
    std::uint32_t requests = 0;
    std::uint32_t inTime = 0;
    std::uint32_t late = 0;
    std::uint32_t failed = 0;
    std::uint32_t rejected = 0;
    std::uint32_t attempts = 0;
    std::uint32_t counterCalls = 0;
    std::uint32_t newConnections = 0;
    double unitsSent = 0;
    double unitsOverQuota = 0;
  };
  std::vector<Second> seconds;             ///< One entry per second, from the start of the run.
  std::vector<Violation> firstViolations;  ///< The first few of each invariant.
  /// Violations of all invariants.
  std::uint64_t violationCount() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t count : violations) sum += count;
    return sum;
  }
};

/// One figure of a run, named as its column in result tables.
struct Figure {
  std::string name;
  double value = 0;
};
/// The figures of a run for result tables and comparisons, in the order of the table's columns.
std::vector<Figure> figuresOf(const Metrics&);

/// Creates the gateway of one process. Queue and transport outlive it.
using GatewayFactory = std::function<std::unique_ptr<EmulatedGateway>(
    const config::GatewayConfig&, TimePoint now, core::DeadlineQueue&, core::Transport&, const GroundTruth&)>;
/// Runs a scenario to its end and returns its metrics. The result depends on the arguments alone: the same
/// seed gives the same run, byte for byte. `gateway`, if given, creates the gateways in place of the policy's
/// own; tests of the invariant checker use it. May be called from several threads at the same time.
Metrics play(const Scenario&, std::uint64_t seed, Policy, const GatewayFactory& gateway = {});

}  // namespace merlinbridge::emulator
