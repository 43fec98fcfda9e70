#include "net/client/refusal_log.hpp"

#include <utility>

namespace merlinbridge::net {
namespace {

// Minimum time between two log lines for the same reason.
constexpr Duration kLogInterval = std::chrono::seconds(10);
// A longer Req-Id is truncated.
constexpr std::size_t kMaxIdBytes = 32;

}  // namespace

void RefusalLog::record(TimePoint now, std::string_view reason, std::string_view requestId) {
  Count& count = counts_[reason];
  ++count.sinceLogged;
  if (count.loggedAt != TimePoint{} && now - count.loggedAt < kLogInterval) return;
  count.loggedAt = now;
  log_(LogEvent::clientRequestsRefused, LogField{"reason", reason},
       LogField{"request", requestId.empty() ? "none" : requestId.substr(0, kMaxIdBytes)},
       LogField{"since_last_line", std::exchange(count.sinceLogged, 0)});
}

}  // namespace merlinbridge::net
