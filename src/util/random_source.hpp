#pragma once

#include <cstdint>
#include <random>

namespace merlinbridge::util {

/// Pseudo-random numbers that depend only on the seed, on every platform: the C++ standard defines the
/// engine's output, and no standard distribution is used, because their results differ between libraries.
class RandomSource {
 public:
  /// Uses only the lower 32 bits of the seed.
  explicit RandomSource(std::uint64_t seed) : engine_(static_cast<std::uint32_t>(seed)) {}

  /// A number uniform in [0, 1). Draws once from the engine.
  double uniform01() { return double(engine_()) / (double(engine_.max()) + 1); }

  /// True with the given probability: never at 0 or below, always at 1 or above. Always draws once.
  bool bernoulli(double probability) { return probability > uniform01(); }

 private:
  std::ranlux24_base engine_;
};

}  // namespace merlinbridge::util
