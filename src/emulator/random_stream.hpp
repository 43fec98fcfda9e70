#pragma once

#include <cmath>
#include <cstdint>
#include <random>
#include <string_view>

#include "policy_api/time.hpp"

namespace merlinbridge::emulator {

/// Chance for one part of a run. Each part draws from its own stream, so that a change to one leaves what the
/// others draw as it was: two policies meet the same clients, and the same faults.
class RandomStream {
 public:
  RandomStream(std::uint64_t seed, std::string_view part) {
    std::uint64_t mixed = 1469598103934665603u;
    const auto mix = [&mixed](unsigned char byte) { mixed = (mixed ^ byte) * 1099511628211u; };
    for (const char c : part) mix(static_cast<unsigned char>(c));
    for (int n = 0; n < 8; ++n) mix(static_cast<unsigned char>(seed >> (8 * n)));
    mixed ^= mixed >> 29;
    engine_.seed(static_cast<std::uint32_t>(mixed ^ (mixed >> 32)));
  }

  /// From 0 on, under 1.
  double uniform01() {
    const double high = double(engine_()), low = double(engine_());
    return (high + low / kSpan) / kSpan;
  }
  double between(double least, double most) { return least + (most - least) * uniform01(); }
  bool bernoulli(double odds) { return uniform01() < odds; }
  std::size_t below(std::size_t n) {
    return std::min(n - 1, static_cast<std::size_t>(uniform01() * double(n)));
  }
  double exponential(double mean) { return -mean * std::log(1 - uniform01()); }
  Duration duration(Duration mean) { return scaled(mean, exponential(1)); }
  std::uint64_t word() { return static_cast<std::uint64_t>(engine_()) << 24 | engine_(); }

 private:
  static constexpr double kSpan = 16777216;  ///< of the engine's 24 bits
  std::ranlux24_base engine_;
};

}  // namespace merlinbridge::emulator
