#pragma once

#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "config/gateway_config.hpp"
#include "config/toml_table.hpp"

namespace merlinbridge::emulator {

/// A scenario that cannot be read; the text names file, line, column and what was expected.
using ScenarioError = config::TomlError;
using config::Range;

/// What goes wrong. Share, factor and steps are those of Fault.
enum class FaultKind {
  gatewayKill,      ///< A share of the gateways dies at once and starts again after the fault.
  gatewayRestart,   ///< A share of the gateways is restarted in steps; each drains first.
  hostKill,         ///< A share of the hosts dies and refuses connections; they start again, cold, after it.
  hostHang,         ///< Takes requests and answers none.
  hostSlow,         ///< Takes `factor` times as long.
  hostErr,          ///< Ends a share `factor` of its requests as errors.
  hostVanish,       ///< Unresponsive, on old connections and new ones.
  hostReplace,      ///< A share is replaced by new, cold ones, in steps; the old ones drain.
  zoneCut,          ///< One zone and the others do not reach each other.
  zoneLoss,         ///< All hosts of one zone die and start again, cold.
  discoveryDown,    ///< Sends no updates.
  discoveryLate,    ///< Updates come `factor` times later.
  discoveryRefuse,  ///< Refuses a share of the gateways, which back off.
  discoveryMangle,  ///< Half of the lists come cut short and are sent again.
  counterDown,      ///< Answers no call.
  counterSlow,      ///< Takes `factor` times as long for a call.
  counterEmpty,     ///< Has lost its counts when the fault begins.
  counterSplit,     ///< A share of the gateways reaches a second service, empty at the begin.
  counterLose,      ///< A share `factor` of the answers is lost.
  netLoss,          ///< A share `factor` of all messages is retransmitted, and so late.
  netSlow,          ///< Messages take `factor` times as long.
  loadBurst,        ///< Clients send `factor` times as many requests.
};

/// One fault of a scenario. Begin and length are drawn by the seed.
struct Fault {
  FaultKind kind{};
  Range from;         ///< Seconds from the begin of the run.
  Range duration;        ///< Seconds.
  double share = 1;   ///< Of the gateways or hosts, 0 to 1.
  double factor = 1;  ///< By kind: a factor, or a share from 0 to 1.
  int steps = 1;
};
/// The name of a kind of fault in scenarios.
std::string_view wordOf(FaultKind);

/// A method that clients call.
struct ScenarioMethod {
  std::string name;
  Idempotency idempotency{};
  DeduplicationScope deduplicationScope{};        ///< The hosts that discard repeats of a deduplicated request,
  Duration deduplicationWindow{};    ///< and for how long.
  Duration softDeadline{};      ///< Soft deadline: an answer after it is worth less.
  Duration deadline{};  ///< How long a client waits.
  Duration work{};      ///< Mean time of a core for one request.
  double share = 1;     ///< Weight among the methods.
  double utility = 1;   ///< Of one unit.
};

/// A plan that customers have.
struct ScenarioPlan {
  std::string name;
  Plan plan{};
  double share = 1;  ///< Weight among the plans.
};

/// What the emulator plays. The defaults of the keys are those of readScenario.
struct Scenario {
  std::string name;
  std::uint64_t hash = 0;  ///< Of the text that writeScenario makes of it.
  Duration length{};       ///< Clients send new requests for so long.

  // Gateways
  std::uint32_t gateways = 1;
  std::uint32_t zones = 1;
  Duration restartDelay{};  ///< From the end of a drained process to its next start.
  Duration failureDetectionDelay{};   ///< Until the front load balancer leaves out a gateway that died.

  // Hosts
  std::uint32_t hosts = 0;
  int cores = 1;
  int queueCapacity = 0;        ///< Requests that queue at a host behind those in service.
  int maxConnectionsPerHost = 0;          ///< Most open connections to one host.
  Duration slowStartTime{};     ///< Time of the slow start.
  Duration overloadWindow{};    ///< Window over which the overload of a host in slow start is measured.
  Duration idleTimeout{};              ///< A host closes a connection that was idle for so long.
  double startCapacity = 1;     ///< Share of its capacity that a host starts with.
  double overloadMultiple = 1;  ///< Times its capacity in that window, and a host in slow start fails.
  bool stopsCancelled = false;  ///< A request whose connection was closed frees its core.
  bool reportsLoad = false;         ///< Answers carry the host's load.

  // Network
  Duration delay{};
  Duration jitter{};
  Duration connectTimeout{};
  double loss = 0;  ///< Share of the messages that is retransmitted.

  // Clients
  double rate = 0;                ///< Requests a second of all clients.
  double skew = 0;                ///< Exponent of a Zipf distribution over customers.
  double honorsRetryAfter = 1;    ///< Probability that a client honours Retry-After.
  double abandonProbability = 0;  ///< Probability that a client leaves before its deadline.
  double units = 1;               ///< Mean of a request.
  std::uint32_t customers = 1;
  std::uint32_t spread = 1;  ///< Gateways that a customer's requests come through.
  int maxClientAttempts = 1;             ///< Client attempts for one request, at most.
  Duration initialBackoff{};           ///< Mean of the first backoff of a client.

  std::vector<ScenarioMethod> methods;
  std::vector<ScenarioPlan> plans;

  // Counter service
  bool hasCounter = false;
  int counterPartitions = 1;
  int counterQueueCapacity = 1;        ///< Calls that queue at one part.
  Duration counterServiceTime{};  ///< Time of one call.
  Duration counterTimeout{};

  // Discovery
  Duration notificationDelay{};
  bool indentedLists = false;  ///< Lists are written over many lines.

  // What the invariants allow
  Duration drainGrace{};
  Duration answerSlack{};
  Duration maxRetryAfter{};
  bool allowCancel = true;
  bool allowHedging = false;
  std::uint32_t maxAttempts = 1;

  std::vector<Fault> faults;
  /// Of reading: keys under an old name, each with its new one. Not part of what is played.
  std::vector<std::string> warnings{};

  /// Of all methods.
  Duration longestDeadline() const;
  /// What one gateway is configured with at its start, without hosts and seed.
  config::GatewayConfig config() const;
};

/// Reads a scenario whole. `file` is named in errors; each of `changes` is "path=value" and overrides the
/// text, under the old or the new name of a key. Throws ScenarioError.
Scenario readScenario(const std::string& text, const std::string& file,
                      const std::vector<std::string>& changes = {});
/// Text that reads as the same scenario.
std::string writeScenario(const Scenario&);
/// The whole of a file. Throws ScenarioError.
std::string textOfFile(const std::string& path);

}  // namespace merlinbridge::emulator
