#include "emulator/metrics.hpp"

namespace merlinbridge::emulator {

double LatencyHistogram::quantile(double share) const {
  if (count_ == 0) return 0;
  double sum = 0;
  for (auto&& bin : boost::histogram::indexed(bins_)) {
    sum += *bin;
    if (sum >= share * double(count_)) return std::min(max_, bin.bin().upper());
  }
  return max_;
}

std::vector<Figure> figuresOf(const Metrics& metrics) {
  const auto ratio = [](double value, double total) { return total > 0 ? value / total : 0; };
  const double requests = double(metrics.requests);
  std::vector<Figure> figures{
      {"requests", requests},
      {"utility_served", ratio(metrics.utilityServed, metrics.utilityOffered)},
      {"in_time", ratio(double(metrics.inTime), requests)},
      {"late", ratio(double(metrics.late), requests)},
      {"failed", ratio(double(metrics.failed), requests)},
      {"client_attempts", ratio(double(metrics.clientAttempts), requests)},
      {"rejected", ratio(double(metrics.rejected), double(metrics.clientAttempts))},
      {"failed_answers", ratio(double(metrics.failedAnswers), double(metrics.clientAttempts))},
      {"unreached", ratio(double(metrics.gatewayUnreachable), double(metrics.clientAttempts))},
      {"attempts", ratio(double(metrics.attempts), double(metrics.clientAttempts))},
      {"retries", ratio(double(metrics.retries), double(metrics.attempts))},
      {"connections", ratio(double(metrics.newConnections), double(metrics.attempts))},
      {"counter_calls", ratio(double(metrics.counterCalls), double(metrics.clientAttempts))},
      {"endpoint_updates", double(metrics.endpointUpdates)},
      {"over_quota", ratio(metrics.unitsOverQuota, metrics.unitsSent)},
      {"worst_window", metrics.worstWindow},
      {"hosts_overloaded", double(metrics.hostsOverloaded)},
      {"p50_ms", 1e3 * metrics.latency.quantile(0.5)},
      {"p99_ms", 1e3 * metrics.latency.quantile(0.99)},
      {"p999_ms", 1e3 * metrics.latency.quantile(0.999)},
      {"max_in_flight", double(metrics.maxInFlight)},
  };
  for (std::size_t rule = 0; rule < kInvariantCount; ++rule)
    figures.push_back({"violations_" + std::string(wordOf(static_cast<Invariant>(rule))),
                       double(metrics.violations[rule])});
  return figures;
}

}  // namespace merlinbridge::emulator
