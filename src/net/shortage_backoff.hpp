#pragma once

#include <algorithm>

#include "policy_api/time.hpp"

namespace merlinbridge::net {

/// Exponential backoff between retries of calls that fail for a local resource shortage (descriptors, memory,
/// ports). The pause doubles with each consecutive shortage, up to `kMaxDoublings` times.
class ShortageBackoff {
 public:
  static constexpr int kMaxDoublings = 4;

  /// Counts one more shortage and returns the pause before the next retry. `firstPause` is
  /// EventLoop::retryPause().
  Duration nextPause(Duration firstPause) {
    const int doublings = std::min(consecutiveShortages_, kMaxDoublings);
    ++consecutiveShortages_;
    return firstPause * (1 << doublings);
  }
  /// A call has succeeded: the next shortage starts with the first pause again.
  void reset() { consecutiveShortages_ = 0; }

 private:
  int consecutiveShortages_ = 0;
};

}  // namespace merlinbridge::net
