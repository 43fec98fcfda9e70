#pragma once

#include <cstdint>
#include <map>
#include <string_view>

#include "policy_api/time.hpp"
#include "util/log.hpp"

namespace merlinbridge::net {

/// Counts the requests that the gateway refuses on its own, by reason. The first of each reason is logged at
/// once, later ones in at most one line per reason every ten seconds, so that a flood of bad requests does
/// not flood the log. Used on the event loop's strand.
class RefusalLog {
 public:
  /// `log` must outlive this object.
  explicit RefusalLog(Log& log) : log_(log) {}

  /// Counts one request. `reason` is one of the gateway's fixed texts, which bounds the number of counts;
  /// `requestId` is its Req-Id, empty if it has none.
  void record(TimePoint now, std::string_view reason, std::string_view requestId);

 private:
  struct Count {
    std::uint64_t sinceLogged = 0;
    TimePoint loggedAt{};
  };

  Log& log_;
  std::map<std::string_view, Count> counts_;  ///< By reason.
};

}  // namespace merlinbridge::net
