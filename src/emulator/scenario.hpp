#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/gateway_config.hpp"
#include "config/toml_table.hpp"

namespace merlinbridge::emulator {

using BadScenario = config::TomlError;
using config::Range;

enum class FaultKind {
  gatewayKill,      ///< a share of the gateways dies at once and comes back after the fault
  gatewayRestart,   ///< all gateways are restarted in steps, each told to end first
  hostKill,         ///< a share of the hosts dies; their connections are refused; back, cold, after it
  hostHang,         ///< takes what comes and answers nothing
  hostSlow,         ///< takes `factor` times as long
  hostErr,          ///< ends a part `factor` of its requests as errors
  hostVanish,       ///< says nothing any more, to old connections and new ones
  hostReplace,      ///< a share is replaced by new, cold ones, in steps, the old ones drained
  zoneCut,          ///< one zone and the others do not reach each other
  zoneLoss,         ///< all hosts of one zone die and come back cold
  discoveryDown,    ///< nothing is told
  discoveryLate,    ///< what is told comes `factor` times later
  discoveryRefuse,  ///< turns a share of the gateways away, which ask again ever more seldom
  discoveryMangle,  ///< lists come cut short, and then anew
  counterDown,      ///< answers nothing
  counterSlow,      ///< serves `factor` times as long
  counterEmpty,     ///< has lost its numbers when it begins
  counterSplit,     ///< a share of the gateways speaks to another counter, which begins empty
  counterLose,      ///< a part `factor` of the answers is lost
  netLoss,          ///< a part `factor` of all messages comes late, as when sent again
  netSlow,          ///< messages take `factor` times as long
  loadBurst,        ///< clients ask `factor` times as much
};

struct Fault {
  FaultKind kind{};
  Range from, lasts;  ///< in seconds
  double share = 1, factor = 1;
  int steps = 1;
};

struct ScenarioMethod {
  std::string name;
  Repeat repeat{};
  Group group{};
  Duration window{}, soft{}, deadline{}, work{};
  double share = 1, utility = 1;
};

struct ScenarioPlan {
  std::string name;
  Plan plan{};
  double share = 1;
};

struct Scenario {
  std::string name;
  std::uint64_t hash = 0;  ///< of the text that it was read from
  Duration length{};

  std::uint32_t gateways = 1, zones = 1;
  Duration restart{}, notice{};

  std::uint32_t hosts = 0;
  int cores = 1, room = 0, connections = 0;
  Duration cold{}, tip{}, idle{};
  double startCapacity = 1, overloadMultiple = 1;
  bool stopsCancelled = false, reports = false;

  Duration delay{}, jitter{}, connectTimeout{};
  double loss = 0;

  double rate = 0, skew = 0, heedsAdvice = 1, leaves = 0, units = 1;
  std::uint32_t customers = 1, spread = 1;
  int tries = 1;
  Duration wait{};

  std::vector<ScenarioMethod> methods;
  std::vector<ScenarioPlan> plans;

  bool counter = false;
  int counterParts = 1, counterRoom = 1;
  Duration counterService{}, counterTimeout{};

  Duration told{};
  bool indented = false;

  Duration drainGrace{}, answerSlack{}, maxRetryAfter{};
  bool allowCancel = true, allowHedging = false;
  std::uint32_t maxAttempts = 1;

  std::vector<Fault> faults;

  Duration longestDeadline() const;
  /// What one gateway of it is told at start, less the hosts.
  config::GatewayConfig config() const;
};

std::string_view wordOf(FaultKind);

/// Reads a scenario whole. `file` is named in what is said of it; `changes` are "path=value" and come over
/// what the text says. Throws BadScenario.
Scenario readScenario(const std::string& text, const std::string& file,
                      const std::vector<std::string>& changes = {});
/// Text that reads as the same scenario.
std::string writeScenario(const Scenario&);
std::string textOfFile(const std::string& path);

}  // namespace merlinbridge::emulator
