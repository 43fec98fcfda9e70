#include "emulator/metrics.hpp"

namespace merlinbridge::emulator {

double Latencies::within(double part) const {
  if (n_ == 0) return 0;
  double sum = 0;
  for (auto&& bin : boost::histogram::indexed(bins_)) {
    sum += *bin;
    if (sum >= part * double(n_)) return std::min(most_, bin.bin().upper());
  }
  return most_;
}

std::vector<Figure> figuresOf(const Metrics& t) {
  const auto part = [](double of, double all) { return all > 0 ? of / all : 0; };
  const double asked = double(t.asked);
  std::vector<Figure> all{
      {"asked", asked},
      {"worth", part(t.worth, t.worthAsked)},
      {"in_time", part(double(t.inTime), asked)},
      {"late", part(double(t.late), asked)},
      {"failed", part(double(t.failed), asked)},
      {"tries", part(double(t.tries), asked)},
      {"pushed_back", part(double(t.rejected), double(t.tries))},
      {"aborted", part(double(t.failedAnswers), double(t.tries))},
      {"unreached", part(double(t.unreached), double(t.tries))},
      {"call_outs", part(double(t.attempts), double(t.tries))},
      {"further", part(double(t.further), double(t.attempts))},
      {"connects", part(double(t.connects), double(t.attempts))},
      {"count_calls", part(double(t.countCalls), double(t.tries))},
      {"list_lines", double(t.listLines)},
      {"beyond_quota", part(t.unitsBeyond, t.unitsSent)},
      {"worst_window", t.worstWindow},
      {"hosts_fallen", double(t.hostsFallen)},
      {"p50_ms", 1e3 * t.latency.within(0.5)},
      {"p99_ms", 1e3 * t.latency.within(0.99)},
      {"p999_ms", 1e3 * t.latency.within(0.999)},
      {"most_in_flight", double(t.mostInFlight)},
  };
  for (std::size_t r = 0; r < kInvariants; ++r)
    all.push_back({"broken_" + std::string(wordOf(static_cast<Invariant>(r))), double(t.violations[r])});
  return all;
}

}  // namespace merlinbridge::emulator
