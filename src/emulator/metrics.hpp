#pragma once

#include <array>
#include <boost/histogram.hpp>
#include <cstdint>
#include <string>
#include <vector>

#include "emulator/emulated_gateway.hpp"
#include "emulator/invariant_checker.hpp"

namespace merlinbridge::emulator {

/// Times from 10 us to 1000 s, each known to one part in a hundred, up to the longest.
class Latencies {
 public:
  void add(Duration span) {
    ++n_;
    most_ = std::max(most_, seconds(span));
    bins_(std::max(seconds(span), kLeast));
  }
  std::uint64_t size() const { return n_; }
  /// The time that so great a part of all stays within; 0 where there is none.
  double within(double part) const;
  double most() const { return most_; }

 private:
  static constexpr double kLeast = 1e-5, kMost = 1e3;
  static constexpr unsigned kBins = 1852;  ///< of a hundredth each over eight decades
  using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  decltype(boost::histogram::make_histogram(Axis())) bins_ =
      boost::histogram::make_histogram(Axis(kBins, kLeast, kMost));
  std::uint64_t n_ = 0;
  double most_ = 0;
};

/// What a run came to. Figures of the emulator are emulated figures.
struct Metrics {
  std::uint64_t asked = 0, inTime = 0, late = 0, failed = 0,
                left = 0;  ///< what clients wanted, all tries of it
  std::uint64_t tries = 0, rejected = 0, failedAnswers = 0, unreached = 0;
  std::uint64_t attempts = 0, further = 0, connects = 0, countCalls = 0, listLines = 0, hostsFallen = 0;
  double worthAsked = 0, worth = 0, unitsSent = 0, unitsBeyond = 0, worstWindow = 0;
  double nearestCold = 0;  ///< of what a cold host may be sent, the nearest that one came to it
  std::array<std::uint64_t, kInvariants> violations{};
  Latencies latency;
  std::size_t mostInFlight = 0;
  std::uint64_t events = 0;
  std::uint64_t print = 0;  ///< of all that happened, in order: two runs alike have the same

  struct Second {
    std::uint32_t asked = 0, inTime = 0, late = 0, failed = 0, rejected = 0, attempts = 0, countCalls = 0,
                  connects = 0;
    double unitsSent = 0, unitsBeyond = 0;
  };
  std::vector<Second> seconds;
  std::vector<Violation> first;
  std::uint64_t broken() const {
    std::uint64_t sum = 0;
    for (const std::uint64_t n : violations) sum += n;
    return sum;
  }
};

struct Figure {
  std::string name;
  double value;
};
/// The figures of a run that tables and comparisons know, by name.
std::vector<Figure> figuresOf(const Metrics&);

/// Plays a scenario to its end. One seed gives one run, to the last byte. `gateway` takes the place of the
/// policy's own where it is given: for tests of the checker.
using GatewayFactory = std::function<std::unique_ptr<EmulatedGateway>(
    const config::GatewayConfig&, TimePoint now, core::DeadlineQueue&, core::Transport&, const Truth&)>;
Metrics play(const Scenario&, std::uint64_t seed, Policy, const GatewayFactory& gateway = {});

}  // namespace merlinbridge::emulator
