// Runs one scenario in the emulator and with the real daemon on loopback, and compares the metrics. The
// tolerances are fixed here, before any run. Not part of CI, since a run takes as long as the scenario lasts.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <iostream>
#include <sstream>

#include "emulator/metrics.hpp"
#include "lab/lab_error.hpp"
#include "loopback_run.hpp"

namespace merlinbridge::test_services {
namespace {

using emulator::Metrics;
using emulator::Scenario;

/// Tolerances between metrics on sockets and emulated ones. Latencies on sockets include the kernel's
/// own delays.
constexpr double kShareTolerance = 0.05;  ///< Shares of requests or attempts, absolute.
constexpr double kRatioTolerance = 0.1;   ///< Ratios and units, relative to the emulated value.
constexpr double kMedianToleranceMs = 4;
constexpr double kP99ToleranceMs = 40;         ///< The larger of this
constexpr double kP99RelativeTolerance = 0.3;  ///< and this share of the emulated p99.

double ratio(double part, double whole) {
  return whole == 0 ? 0 : part / whole;
}

double latencyMs(const Metrics& metrics, double quantile) {
  constexpr double kMillisecondsPerSecond = 1e3;
  return kMillisecondsPerSecond * metrics.latency.quantile(quantile);
}

/// Compares the metrics of two runs and prints one CSV line for each.
class MetricComparison {
 public:
  MetricComparison(std::uint64_t seed, const Metrics& emulated, const Metrics& real)
      : seed_(seed), emulated_(emulated), real_(real) {}

  /// Returns true if all metrics agree within their tolerances.
  bool print() {
    printShares();
    printRatios();
    printLatencies();
    return agrees_;
  }

  static void printTitles() { std::cout << "seed,figure,emulated,sockets,may_differ,verdict\n"; }

 private:
  void printMetric(const char* name, double emulated, double real, double tolerance) {
    const bool holds = std::abs(emulated - real) <= tolerance;
    agrees_ = agrees_ && holds;
    std::cout << fmt::format("{},{},{:.5g},{:.5g},{:.4g},{}\n", seed_, name, emulated, real, tolerance,
                             holds ? "holds" : "differs");
  }
  template <class Count>
  void printShare(const char* name, Count Metrics::*part, Count Metrics::*whole) {
    printMetric(name, ratio(double(emulated_.*part), double(emulated_.*whole)),
                ratio(double(real_.*part), double(real_.*whole)), kShareTolerance);
  }
  template <class Count>
  void printRatio(const char* name, Count Metrics::*part, Count Metrics::*whole) {
    const double emulated = ratio(double(emulated_.*part), double(emulated_.*whole));
    const double real = ratio(double(real_.*part), double(real_.*whole));
    printMetric(name, emulated, real, kRatioTolerance * emulated);
  }
  void printShares() {
    printShare("in_time", &Metrics::inTime, &Metrics::requests);
    printShare("late", &Metrics::late, &Metrics::requests);
    printShare("failed", &Metrics::failed, &Metrics::requests);
    printShare("rejected", &Metrics::rejected, &Metrics::clientAttempts);
  }
  void printRatios() {
    printRatio("client_attempts", &Metrics::clientAttempts, &Metrics::requests);
    printRatio("attempts", &Metrics::attempts, &Metrics::clientAttempts);
    printMetric("units_sent", emulated_.unitsSent, real_.unitsSent, kRatioTolerance * emulated_.unitsSent);
  }
  void printLatencies() {
    constexpr double kMedian = 0.5;
    constexpr double kP99 = 0.99;
    printMetric("p50_ms", latencyMs(emulated_, kMedian), latencyMs(real_, kMedian), kMedianToleranceMs);
    const double p99 = latencyMs(emulated_, kP99);
    printMetric("p99_ms", p99, latencyMs(real_, kP99),
                std::max(kP99ToleranceMs, kP99RelativeTolerance * p99));
  }

  std::uint64_t seed_;
  const Metrics& emulated_;
  const Metrics& real_;
  bool agrees_ = true;
};

enum class ExitCode { agrees = 0, differs = 1, notPlayed = 2 };

ExitCode validate(const std::string& file, const std::string& seeds, const std::string& program) {
  const Scenario scenario = emulator::readScenario(emulator::textOfFile(file), file);
  if (!scenario.faults.empty())
    throw lab::LabError(
        "the scenario has faults; only one without faults can be compared with daemons on sockets");
  bool agrees = true;
  MetricComparison::printTitles();
  std::istringstream words(seeds);
  for (std::string word; std::getline(words, word, ',');) {
    const std::uint64_t seed = std::stoull(word);
    const Metrics emulated = emulator::play(scenario, seed, emulator::Policy::gatewayCore);
    const Metrics real = playOnLoopback(scenario, seed, program);
    agrees = MetricComparison(seed, emulated, real).print() && agrees;
  }
  return agrees ? ExitCode::agrees : ExitCode::differs;
}

ExitCode runProgram(int argc, char** argv) {
  CLI::App app{
      "merlinbridge_emulator_validation: compares one scenario in the emulator and on sockets with the real "
      "daemon"};
  std::string file;
  std::string seeds = "1,2,3";
  std::string program = "build/merlinbridge";
  app.add_option("scenario", file, "a scenario without faults")->required();
  app.add_option("--seeds", seeds, "comma-separated, such as 1,2,3")->capture_default_str();
  app.add_option("--program", program, "path of the daemon")->capture_default_str();
  app.footer("Exit codes: 0 all metrics agree, 1 some differ, 2 the comparison could not be run.");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? ExitCode::agrees : ExitCode::notPlayed;
  }
  try {
    return validate(file, seeds, program);
  } catch (const std::exception& e) {
    std::cerr << e.what() << '\n';
    return ExitCode::notPlayed;
  }
}

}  // namespace
}  // namespace merlinbridge::test_services

int main(int argc, char** argv) {
  return static_cast<int>(merlinbridge::test_services::runProgram(argc, argv));
}
