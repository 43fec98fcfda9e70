#pragma once

#include <cstdint>
#include <vector>

#include "policy_api/ids.hpp"
#include "policy_api/time.hpp"

namespace merlinbridge {

enum class Repeat { idempotent, deduplicated, nonIdempotent };
enum class Group { all, zone, cell };

struct Method {
  Repeat repeat = Repeat::nonIdempotent;
  Group group = Group::cell;  ///< the hosts that discard repeats of a deduplicated request
  Duration window{};          ///< and for how long
  Duration softDeadline{};    ///< an answer is wanted by then
  double utility = 1;
};

struct Plan {
  double rate = 0, burst = 0;                                  ///< the quota's bucket; rate 0: none
  int open = 0;                                                ///< attempts out at once; 0: no such cap
  double ceilingRate = 0, ceilingBurst = 0, ceilingSlack = 0;  ///< the hard ceiling; rate 0: none
  double price = 1;
};

/// What a gateway is told at start.
struct PolicySettings {
  std::vector<Method> methods;
  std::vector<Plan> plans;
  std::uint32_t gateways = 1;
  bool counter = false;       ///< is there a counter service
  Duration counterTimeout{};  ///< a call to it ends unanswered after this long
  double maxUnits = 1;        ///< of one request
  bool allowCancel = false, allowHedging = false, allowRetryAfter = false;
  std::uint32_t maxAttempts = 1;
  Duration maxRetryAfter{}, connectTimeout{};
  double startCapacity = 1, overloadMultiple = 1;  ///< a host starts with this share of its capacity or more,
  Duration slowStartTime{},
      overloadWindow{};  ///< is warm by then, and falls when over-driven so many times for so long
};

}  // namespace merlinbridge
