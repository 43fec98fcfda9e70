#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "config/gateway_config.hpp"
#include "config/json_fields.hpp"
#include "policy_api/decision_engine.hpp"

/// The messages that the simulator sends, as types. Only message_reader.cpp refers to the names that they and
/// their fields have on the wire.
namespace merlinbridge::simulator_adapter {

/// A request's identifier on the wire, chosen by the simulator: 64 bits, written as 16 hex digits.
struct WireRequestId {
  std::uint64_t value = 0;
  bool operator==(const WireRequestId&) const = default;
};

/// The type of a message from the simulator.
enum class MessageKind {
  batchStarted,        ///< Starts a batch; holds the time of all its messages.
  batchEnded,          ///< Ends the batch; the adapter then sends its reply.
  gatewayStarted,      ///< A gateway starts or restarts; holds its settings.
  gatewayStopped,      ///< A gateway's process ends immediately.
  requestArrived,      ///< A client sent a request.
  clientDisconnected,  ///< The client no longer waits for the response.
  attemptEnded,        ///< An attempt ended, either by the simulator at its deadline or by the host.
  timerFired,          ///< The timer that the gateway set has expired.
  counterCallEnded,    ///< A call to the counter service ended.
  endpointsUpdated,    ///< A complete list of hosts, or changes to it.
  ignored,             ///< Known, but not needed: see kMessageNames in message_reader.cpp.
  unknown              ///< Not a message of the simulator's protocol.
};

/// One line of input. `name` and `fields` refer to the reader's buffers and are valid until it reads the next
/// line.
struct Message {
  MessageKind kind = MessageKind::unknown;
  std::string_view name;  ///< As on the wire.
  config::JsonFields fields;
};

/// The settings with which a gateway starts.
struct GatewayStart {
  std::vector<std::string> loadFieldNames;  ///< Fields of a host's load report, in the order of their values.
  config::GatewayConfig config;
};

/// A client's request.
struct RequestArrival {
  WireRequestId id;
  Request request;  ///< `requestId` stays 0 here: the core assigns it.
};

/// How an attempt ended.
struct AttemptEnd {
  AttemptNumber attempt;
  Outcome outcome = Outcome::notSent;
  double trueUnits = 0;  ///< Actual cost of the request; 0: unknown.
  LoadReport load;
  Duration duration{};
  bool responseForwarded = false;  ///< The simulator has forwarded the response to the client.
};

/// How a call to the counter service ended.
struct CounterCallEnd {
  CounterKey key;
  CounterCallOutcome outcome = CounterCallOutcome::unknown;
  double total = 0;  ///< The counter's value after the call; 0 unless the outcome is ok.
  Duration duration{};
};

}  // namespace merlinbridge::simulator_adapter
