#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

#include "emulator/scenario.hpp"

namespace merlinbridge::emulator {

/// The load balancer in front of the gateways. It sends each customer's requests through a fixed set of
/// gateways, and leaves out a gateway that it was told has gone.
class FrontLoadBalancer {
 public:
  explicit FrontLoadBalancer(const Scenario& scenario)
      : gateways_(scenario.gateways),
        spread_(std::min(scenario.spread, scenario.gateways)),
        listed_(scenario.gateways, 1) {}

  /// How many gateways the requests of one customer come through.
  std::uint32_t spread() const { return spread_; }
  void setListed(std::uint32_t gateway, bool listed) { listed_[gateway] = listed ? 1 : 0; }
  /// The gateway for a request, by a uniform draw from [0, 1). If no gateway of the customer's set is listed,
  /// the request goes to one of them all the same.
  std::uint32_t choose(std::uint64_t customer, double draw) const {
    constexpr std::uint64_t kHashMultiplier = 0xff51afd7ed558ccdu;
    const auto first = static_cast<std::uint32_t>((customer * kHashMultiplier >> 33) % gateways_);
    auto offset = static_cast<std::uint32_t>(spread_ * std::pow(draw, kLoadSkewExponent));
    std::uint32_t gateway = (first + offset) % gateways_;
    for (std::uint32_t i = 0; i < spread_ && listed_[gateway] == 0; ++i) {
      ++offset;
      gateway = (first + offset % spread_) % gateways_;
    }
    return gateway;
  }

 private:
  /// Power of the uniform draw: above 1, the first gateways of a customer's set get more than the last.
  static constexpr double kLoadSkewExponent = 1.5;

  std::uint32_t gateways_;
  std::uint32_t spread_;
  std::vector<char> listed_;  ///< By gateway.
};

}  // namespace merlinbridge::emulator
