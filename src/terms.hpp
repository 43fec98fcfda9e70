#pragma once

#include <cstdint>
#include <vector>

#include "ids.hpp"
#include "moment.hpp"

namespace merlinbridge {

enum class Repeat { idempotent, deduplicated, nonIdempotent };
enum class Group { all, zone, cell };

struct Method {
  Repeat repeat;
  Group group;        // the hosts that discard repeats of a deduplicated RPC
  Span window;        // and for how long
  Span softDeadline;  // an answer is wanted by then
  double utility;
};

struct Plan {
  double rate, burst;                              // the quota's bucket; rate 0: none
  int open;                                        // call-outs out at once; 0: no such cap
  double ceilingRate, ceilingBurst, ceilingSlack;  // the hard ceiling; rate 0: none
  double price;
};

// What a gateway is told at start.
struct Terms {
  std::vector<Method> methods;
  std::vector<Plan> plans;
  std::uint32_t gateways;
  bool counter;          // is there a counter service
  Span counterPatience;  // a call to it ends unanswered after this long
  double mostUnits;      // of one RPC
  bool mayCancel, mayCopy, mayAdvise;
  std::uint32_t mostCallOuts;
  Span longestAdvice, connectPatience;
  double coldShare, tipMultiple;  // a host starts with this share of its capacity or more,
  Span coldSpan, tipSpan;         // is warm by then, and falls when over-driven so many times for so long
};

}  // namespace merlinbridge
