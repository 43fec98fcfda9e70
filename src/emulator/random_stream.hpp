#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <random>
#include <string_view>

#include "policy_api/time.hpp"

namespace merlinbridge::emulator {

/// Random numbers for one part of a run. Each part has its own stream, so that a change in one part does not
/// change the numbers of the others: every policy runs against the same clients and faults. The numbers
/// depend only on the seed and the name of the part, and are the same on every platform.
class RandomStream {
 public:
  RandomStream(std::uint64_t seed, std::string_view part) {
    constexpr int kBytes = 8;
    std::uint64_t hash = 1469598103934665603u;  // FNV-1a
    const auto add = [&hash](unsigned char byte) { hash = (hash ^ byte) * 1099511628211u; };
    for (const char letter : part) add(static_cast<unsigned char>(letter));
    for (int i = 0; i < kBytes; ++i) add(static_cast<unsigned char>(seed >> (8 * i)));
    hash ^= hash >> 29;
    engine_.seed(static_cast<std::uint32_t>(hash ^ (hash >> 32)));
  }

  /// Uniform in [0, 1).
  double uniform01() {
    const double high = double(engine_());
    const double low = double(engine_());
    return (high + low / kSpan) / kSpan;
  }
  /// Uniform in [min, max).
  double between(double min, double max) { return min + (max - min) * uniform01(); }
  /// True with the given probability.
  bool bernoulli(double probability) { return uniform01() < probability; }
  /// Uniform from 0 to count - 1; count must not be 0.
  std::size_t below(std::size_t count) {
    return std::min(count - 1, static_cast<std::size_t>(uniform01() * double(count)));
  }
  /// Exponentially distributed with the given mean.
  double exponential(double mean) { return -mean * std::log(1 - uniform01()); }
  /// Exponentially distributed with the given mean.
  Duration duration(Duration mean) { return scaled(mean, exponential(1)); }
  /// 48 random bits.
  std::uint64_t bits48() { return static_cast<std::uint64_t>(engine_()) << 24 | engine_(); }

 private:
  static constexpr double kSpan = 16777216;  ///< Number of values of the engine, which gives 24 bits.
  std::ranlux24_base engine_;
};

}  // namespace merlinbridge::emulator
