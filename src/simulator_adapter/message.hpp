#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/gateway_config.hpp"
#include "config/json_fields.hpp"
#include "policy_api/decision_engine.hpp"

/// The messages that the simulator sends, as types. The names that they and their fields have on the wire are
/// known to message_reader.cpp alone.
namespace merlinbridge::simulator_adapter {

/// A request's identifier on the wire, chosen by the simulator: 64 bits, written as 16 hex digits.
struct WireRequestId {
  std::uint64_t value = 0;
  bool operator==(const WireRequestId&) const = default;
};

/// What a message from the simulator is about.
enum class MessageKind {
  batchStarted,        ///< Opens a batch and carries its time.
  batchEnded,          ///< Closes the batch; the adapter replies then.
  gatewayStarted,      ///< A gateway starts, or starts anew, with its settings.
  gatewayStopped,      ///< A gateway's process ends at once.
  requestArrived,      ///< A client's request.
  clientDisconnected,  ///< The client no longer waits for its answer.
  attemptEnded,        ///< The end of an attempt, by the simulator's clock or by a host.
  timerFired,          ///< The wake-up that the gateway asked for.
  counterCallEnded,    ///< The end of a call to the counter service.
  endpointsUpdated,    ///< A list of hosts, or a change of it.
  ignored,             ///< Known and without meaning here, see message_reader.cpp.
  unknown              ///< Not a message of the wire.
};

/// One line of input. `name` and `fields` refer to the reader's buffers: valid until it reads the next line.
struct Message {
  MessageKind kind = MessageKind::unknown;
  std::string_view name;  ///< As on the wire.
  config::JsonFields fields;
};

/// Settings of a gateway that starts.
struct GatewayStart {
  std::vector<std::string> loadFieldNames;  ///< Names of a host's load figures, in the order of its reports.
  config::GatewayConfig config;
};

/// A client's request.
struct RequestArrival {
  WireRequestId id;
  Request request;  ///< Its own `requestId` is left 0: the core assigns it.
};

/// How an attempt ended.
struct AttemptEnd {
  AttemptNumber attempt;
  Outcome outcome = Outcome::notSent;
  double trueUnits = 0;  ///< Cost of the request; 0: not told.
  LoadReport load;
  Duration duration{};
  bool responseForwarded = false;  ///< The simulator has handed the answer to the client.
};

/// How a call to the counter service ended.
struct CounterCallEnd {
  CounterKey key;
  CounterCallOutcome outcome = CounterCallOutcome::unknown;
  double total = 0;  ///< Of the counter after the call; 0 unless the outcome is ok.
  Duration duration{};
};

}  // namespace merlinbridge::simulator_adapter
