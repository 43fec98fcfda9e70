#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

#include "emulator/scenario.hpp"

namespace merlinbridge::emulator {

/// The load balancer in front of the gateways. It distributes each customer's requests over a fixed set of
/// gateways and skips gateways that it has been told are down.
class FrontLoadBalancer {
 public:
  explicit FrontLoadBalancer(const Scenario& scenario)
      : gateways_(scenario.gateways),
        spread_(std::min(scenario.spread, scenario.gateways)),
        listed_(scenario.gateways, 1) {}

  /// Number of gateways that the requests of one customer are distributed over.
  std::uint32_t spread() const { return spread_; }
  void setListed(std::uint32_t gateway, bool listed) { listed_[gateway] = listed ? 1 : 0; }
  /// The gateway for a request; `random01` is uniform in [0, 1). If no gateway of the customer's set is
  /// listed, returns one of them anyway.
  std::uint32_t choose(std::uint64_t customer, double random01) const {
    constexpr std::uint64_t kHashMultiplier = 0xff51afd7ed558ccdu;
    const auto first = static_cast<std::uint32_t>((customer * kHashMultiplier >> 33) % gateways_);
    auto offset = static_cast<std::uint32_t>(spread_ * std::pow(random01, kLoadSkewExponent));
    std::uint32_t gateway = (first + offset) % gateways_;
    for (std::uint32_t i = 0; i < spread_ && listed_[gateway] == 0; ++i) {
      ++offset;
      gateway = (first + offset % spread_) % gateways_;
    }
    return gateway;
  }

 private:
  /// Exponent of the random number: above 1, the first gateways of a customer's set get more requests.
  static constexpr double kLoadSkewExponent = 1.5;

  std::uint32_t gateways_;
  std::uint32_t spread_;
  std::vector<char> listed_;  ///< By gateway.
};

}  // namespace merlinbridge::emulator
