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

/// Latencies from 10 us to 1000 s in a histogram, each known to one part in a hundred; longer ones count as
/// the longest.
class Latencies {
 public:
  void add(Duration latency) {
    ++count_;
    max_ = std::max(max_, seconds(latency));
    bins_(std::max(seconds(latency), kLeast));
  }
  std::uint64_t size() const { return count_; }
  /// The quantile in seconds: that share, from 0 to 1, of all latencies is not above it. 0 if there are none.
  double within(double share) const;
  /// The longest latency in seconds.
  double most() const { return max_; }

 private:
  static constexpr double kLeast = 1e-5;
  static constexpr double kMost = 1e3;
  static constexpr unsigned kBins = 1852;  ///< Each a hundredth wide, over eight decades.
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis())) bins_ =
      boost::histogram::make_histogram(Axis(kBins, kLeast, kMost));
  std::uint64_t count_ = 0;
  double max_ = 0;
};

/// The figures of one run. All of them are emulated figures.
struct Metrics {
  // Client requests; each ends as one of the four that follow `asked`.
  std::uint64_t asked = 0;
  std::uint64_t inTime = 0;     ///< Answered by the soft deadline.
  std::uint64_t late = 0;       ///< Answered after it.
  std::uint64_t failed = 0;     ///< Without a result when the client gave up.
  std::uint64_t abandoned = 0;  ///< The client left of its own accord before the deadline.

  // Client attempts and how they ended without a result.
  std::uint64_t tries = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failedAnswers = 0;
  std::uint64_t unreached = 0;  ///< The gateway was down.

  // What the gateways did.
  std::uint64_t attempts = 0;  ///< To hosts.
  std::uint64_t retries = 0;   ///< Of them, those after the first of their request.
  std::uint64_t connects = 0;  ///< Of the attempts, those on a new connection.
  std::uint64_t counterCalls = 0;
  std::uint64_t endpointUpdates = 0;  ///< Hosts listed in all updates from discovery.
  std::uint64_t hostsOverloaded = 0;  ///< Hosts that failed under too many requests while warming up.

  double utilityOffered = 0;     ///< Utility times price times units, of all client requests.
  double utilityServed = 0;      ///< The same of those answered inside their quota; half of it if late.
  double unitsSent = 0;          ///< Units that reached hosts.
  double unitsBeyond = 0;        ///< Of them, those over the customer's quota.
  double worstWindow = 0;        ///< See InvariantChecker::worstWindow.
  double peakSlowStartLoad = 0;  ///< See InvariantChecker::peakSlowStartLoad.
  std::array<std::uint64_t, kInvariants> violations{};  ///< By Invariant.
  Latencies latency;                                    ///< Of client requests with a result.
  std::size_t maxInFlight = 0;
  std::uint64_t events = 0;
  std::uint64_t fingerprint = 0;  ///< Fingerprint of all events in order: equal runs have equal ones.

  /// The figures of one second of the run.
  struct Second {
    std::uint32_t asked = 0;
    std::uint32_t inTime = 0;
    std::uint32_t late = 0;
    std::uint32_t failed = 0;
    std::uint32_t rejected = 0;
    std::uint32_t attempts = 0;
    std::uint32_t counterCalls = 0;
    std::uint32_t connects = 0;
    double unitsSent = 0;
    double unitsBeyond = 0;
  };
  std::vector<Second> seconds;   ///< From the begin of the run.
  std::vector<Violation> first;  ///< The first few violations of each rule.
  /// Violations of all rules.
  std::uint64_t broken() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t count : violations) sum += count;
    return sum;
  }
};

/// One figure of a run under the title that it has in result tables.
struct Figure {
  std::string name;
  double value = 0;
};
/// The figures of a run that result tables hold and comparisons know, in the order of the table's columns.
std::vector<Figure> figuresOf(const Metrics&);

/// Makes the gateway of one process. Queue and transport outlive it.
using GatewayFactory = std::function<std::unique_ptr<EmulatedGateway>(
    const config::GatewayConfig&, TimePoint now, core::DeadlineQueue&, core::Transport&, const GroundTruth&)>;
/// Plays a scenario to its end and returns its figures. The result depends on the arguments alone: one seed
/// gives one run, to the last byte. `gateway`, if given, makes the gateways in place of the policy's own;
/// tests of the invariant checker use it. Safe to call from several threads at a time.
Metrics play(const Scenario&, std::uint64_t seed, Policy, const GatewayFactory& gateway = {});

}  // namespace merlinbridge::emulator
