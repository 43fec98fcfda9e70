#pragma once

#include <cstdint>
#include <random>

namespace merlinbridge::util {

/// Pseudo-random numbers that depend on the seed alone, on every platform: the standard prescribes the
/// engine's numbers, and no distribution of the standard library is used, since those differ.
class RandomSource {
 public:
  /// Reads the seed's lower 32 bits.
  explicit RandomSource(std::uint64_t seed) : engine_(static_cast<std::uint32_t>(seed)) {}

  /// Uniform in [0, 1). One draw of the engine.
  double uniform01() { return double(engine_()) / (double(engine_.max()) + 1); }

  /// True with the given probability: never at 0 or below, always at 1 or above. One draw in any case.
  bool bernoulli(double probability) { return probability > uniform01(); }

 private:
  std::ranlux24_base engine_;
};

}  // namespace merlinbridge::util
