#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/gateway_config.hpp"
#include "config/toml_table.hpp"

namespace merlinbridge::emulator {

/// Thrown for an invalid or unreadable scenario; the text names file, line, column and what was expected.
using ScenarioError = config::TomlError;
using config::Range;

/// The kinds of faults. Share, factor and steps are those of Fault.
enum class FaultKind {
  gatewayKill,      ///< A share of the gateways dies at once and restarts when the fault ends.
  gatewayRestart,   ///< A share of the gateways drains and restarts, in steps.
  hostKill,         ///< A share of the hosts dies; they restart in slow start when the fault ends.
  hostHang,         ///< A share of the hosts accepts requests but does not respond.
  hostSlow,         ///< A share of the hosts takes `factor` times as long.
  hostErr,          ///< A share of the hosts fails a share `factor` of its requests.
  hostVanish,       ///< A share of the hosts is unresponsive, on old and new connections.
  hostReplace,      ///< A share of the hosts drains and is replaced by new ones, in steps.
  zoneCut,          ///< One zone and the others cannot reach each other.
  zoneLoss,         ///< All hosts of one zone die, then restart as after hostKill.
  discoveryDown,    ///< Discovery sends no updates.
  discoveryLate,    ///< Updates take `factor` times as long.
  discoveryRefuse,  ///< Discovery refuses a share of the gateways, which back off.
  discoveryMangle,  ///< Half of the lists arrive truncated and are sent again.
  counterDown,      ///< The counter service answers no call.
  counterSlow,      ///< Calls to the counter service take `factor` times as long.
  counterEmpty,     ///< The counter service loses all counts when the fault begins.
  counterSplit,     ///< A share of the gateways reaches a second counter, initially empty.
  counterLose,      ///< A share `factor` of the counter service's responses is lost.
  netLoss,          ///< A share `factor` of all messages is retransmitted, which delays them.
  netSlow,          ///< Messages take `factor` times as long.
  loadBurst,        ///< Clients send `factor` times as many requests.
};

/// One fault of a scenario. Start and duration are random within their ranges, by the seed.
struct Fault {
  FaultKind kind{};
  Range from;         ///< Start, in seconds from the start of the run.
  Range duration;     ///< Seconds.
  double share = 1;   ///< Share of the gateways or hosts affected, 0 to 1.
  double factor = 1;  ///< Depending on the kind: a factor, or a share from 0 to 1.
  int steps = 1;      ///< Number of groups that are restarted or replaced one after the other.
};
/// The name of a kind of fault in scenarios.
std::string_view wordOf(FaultKind);

/// A method that clients call.
struct ScenarioMethod {
  std::string name;
  Idempotency idempotency{};
  DeduplicationScope deduplicationScope{};  ///< Hosts among which repeats of a request are discarded.
  Duration deduplicationWindow{};           ///< How long repeats are discarded.
  Duration softDeadline{};                  ///< An answer after it is worth less.
  Duration deadline{};                      ///< How long a client waits.
  Duration work{};                          ///< Mean core time of one request.
  double share = 1;                         ///< Weight among the methods.
  double utility = 1;                       ///< Utility of one unit.
};

/// A quota plan that customers are on.
struct ScenarioPlan {
  std::string name;
  Plan plan{};
  double share = 1;  ///< Weight among the plans.
};

/// Input of an emulator run. readScenario defines the defaults of the keys.
struct Scenario {
  std::string name;
  std::uint64_t hash = 0;  ///< Hash of the text from writeScenario.
  Duration length{};       ///< How long clients send new requests.

  // Gateways
  std::uint32_t gateways = 1;
  std::uint32_t zones = 1;
  Duration restartDelay{};           ///< From the exit of a drained process to its next start.
  Duration failureDetectionDelay{};  ///< Until the front load balancer skips a gateway that died.

  // Hosts
  std::uint32_t hosts = 0;
  int cores = 1;
  int queueCapacity = 0;          ///< Requests that a host queues besides those in service.
  int maxConnectionsPerHost = 0;  ///< Open connections.
  Duration slowStartTime{};       ///< Duration of the slow start.
  Duration overloadWindow{};      ///< Window over which the load of a host in slow start is measured.
  Duration idleTimeout{};         ///< A host closes a connection that was idle for this long.
  double startCapacity = 1;       ///< Share of its capacity that a host has at its start.
  double overloadMultiple = 1;    ///< A host in slow start fails above this multiple of its capacity.
  bool stopsCancelled = false;    ///< A host stops executing a request when its connection closes.
  bool reportsLoad = false;       ///< Responses carry the host's load.

  // Network
  Duration delay{};
  Duration jitter{};
  Duration connectTimeout{};
  double loss = 0;  ///< Share of messages that are retransmitted.

  // Clients
  double rate = 0;                ///< Requests per second of all clients.
  double skew = 0;                ///< Exponent of the Zipf distribution of requests over customers.
  double honorsRetryAfter = 1;    ///< Probability that a client honours Retry-After.
  double abandonProbability = 0;  ///< Probability that a client disconnects before its deadline.
  double units = 1;               ///< Mean units of a request.
  std::uint32_t customers = 1;
  std::uint32_t spread = 1;   ///< Gateways that a customer's requests are distributed over.
  int maxClientAttempts = 1;  ///< Per client request.
  Duration initialBackoff{};  ///< Mean of a client's first backoff.

  std::vector<ScenarioMethod> methods;
  std::vector<ScenarioPlan> plans;

  // Counter service
  bool hasCounter = false;
  int counterPartitions = 1;
  int counterQueueCapacity = 1;   ///< Calls that one partition queues.
  Duration counterServiceTime{};  ///< Service time of one call.
  Duration counterTimeout{};

  // Discovery
  Duration notificationDelay{};
  bool indentedLists = false;  ///< Endpoint lists are written on several lines.

  // What the invariants allow
  Duration drainGrace{};
  Duration answerSlack{};
  Duration maxRetryAfter{};
  bool allowCancel = true;
  bool allowHedging = false;
  std::uint32_t maxAttempts = 1;

  std::vector<Fault> faults;
  /// Warnings from reading: keys under an old name, each with its new one. No input of the run.
  std::vector<std::string> warnings{};

  /// The longest deadline of all methods.
  Duration longestDeadline() const;
  /// Configuration of one gateway at its start, without hosts and seed.
  config::GatewayConfig config() const;
};

/// Parses a scenario. `file` is named in errors; each of `changes` is "path=value" and overrides the text,
/// under the old or the new name of a key. Throws ScenarioError.
Scenario readScenario(const std::string& text, const std::string& file,
                      const std::vector<std::string>& changes = {});
/// TOML text that readScenario parses to the same scenario.
std::string writeScenario(const Scenario&);
/// The content of a file. Throws ScenarioError.
std::string textOfFile(const std::string& path);

}  // namespace merlinbridge::emulator
