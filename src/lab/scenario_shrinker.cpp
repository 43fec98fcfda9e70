#include "lab/scenario_shrinker.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "lab/lab_error.hpp"

namespace merlinbridge::lab {
namespace {

using emulator::Fault;
using emulator::Scenario;

constexpr Duration kMinLength = std::chrono::seconds(1);
/// Minimum time between the start of the last fault and the end of a shortened scenario, in which the fault
/// can take effect.
constexpr double kSecondsAfterLastFault = 1;
/// A fault that starts earlier than this is not moved to an even earlier time.
constexpr double kMinFaultStartSeconds = 0.5;

/// Generates the scenarios that are one reduction step smaller than a given one.
class SmallerScenarios {
 public:
  explicit SmallerScenarios(const Scenario& scenario) : scenario_(scenario) {}

  /// All of these scenarios, those that reduce the most first.
  std::vector<Scenario> all() && {
    leaveOutEach(&Scenario::faults, 0);
    halve(&Scenario::gateways, 1);
    halve(&Scenario::hosts, 1);
    halve(&Scenario::customers, 1);
    halve(&Scenario::rate, 1);
    halve(&Scenario::zones, 1);
    halve(&Scenario::spread, 1);
    shorten();
    startFaultsEarlier();
    leaveOutEach(&Scenario::methods, 1);
    leaveOutEach(&Scenario::plans, 1);
    return std::move(smaller_);
  }

 private:
  template <class List>
  void leaveOutEach(List Scenario::*list, std::size_t minSize) {
    const std::size_t size = (scenario_.*list).size();
    if (size <= minSize) return;
    for (std::size_t index = 0; index < size; ++index) {
      List& shorter = smaller_.emplace_back(scenario_).*list;
      shorter.erase(shorter.begin() + static_cast<std::ptrdiff_t>(index));
    }
  }
  template <class Number>
  void halve(Number Scenario::*field, std::type_identity_t<Number> minimum) {
    const Number before = scenario_.*field;
    const Number after = std::max(minimum, before / 2);
    if (after != before) smaller_.emplace_back(scenario_).*field = after;
  }
  void shorten() {
    double lastStart = 0;
    for (const Fault& fault : scenario_.faults) lastStart = std::max(lastStart, fault.from.max);
    const Duration shorter = std::max(
        {scaled(scenario_.length, 0.5), durationFromSeconds(lastStart + kSecondsAfterLastFault), kMinLength});
    if (shorter < scenario_.length) smaller_.emplace_back(scenario_).length = shorter;
  }
  void startFaultsEarlier() {
    for (std::size_t index = 0; index < scenario_.faults.size(); ++index) {
      if (scenario_.faults[index].from.max < kMinFaultStartSeconds) continue;
      Fault& fault = smaller_.emplace_back(scenario_).faults[index];
      fault.from.min /= 2;
      fault.from.max /= 2;
    }
  }

  const Scenario& scenario_;
  std::vector<Scenario> smaller_;
};

}  // namespace

ShrunkScenario shrink(const Scenario& scenario, const ScenarioPredicate& showsBehaviour,
                      std::size_t maxRuns) {
  ShrunkScenario found{scenario, 1};
  if (!showsBehaviour(scenario))
    throw LabError("the unmodified scenario does not show the behaviour with this seed");
  bool improved = true;
  while (improved && found.runs < maxRuns) {
    improved = false;
    for (Scenario& smaller : SmallerScenarios(found.scenario).all()) {
      if (found.runs >= maxRuns) break;
      ++found.runs;
      if (!showsBehaviour(smaller)) continue;
      found.scenario = std::move(smaller);
      improved = true;
      break;
    }
  }
  return found;
}

}  // namespace merlinbridge::lab
