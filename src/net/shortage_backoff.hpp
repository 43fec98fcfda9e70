#pragma once

#include <algorithm>

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// The pauses between repeated calls that fail because this machine lacks a resource (descriptors, memory,
/// ports): the first pause, doubled for each further shortage in a row, up to `kMaxDoublings` times.
class ShortageBackoff {
 public:
  static constexpr int kMaxDoublings = 4;

  /// Counts one more shortage. Returns the pause before the next try; `firstPause` is
  /// EventLoop::retryPause().
  Duration nextPause(Duration firstPause) {
    const int doublings = std::min(consecutiveShortages_, kMaxDoublings);
    ++consecutiveShortages_;
    return firstPause * (1 << doublings);
  }
  /// A call has succeeded: the next shortage starts again with the first pause.
  void reset() { consecutiveShortages_ = 0; }

 private:
  int consecutiveShortages_ = 0;
};

}  // namespace merlinbridge::net
