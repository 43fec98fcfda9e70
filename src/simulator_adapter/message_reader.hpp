#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "simulator_adapter/message.hpp"

namespace merlinbridge::simulator_adapter {

/// Reads the simulator's messages from a stream. Each line is a JSON object with one member: the message's
/// name, and an object that holds its fields. Blank lines are skipped.
class MessageReader {
 public:
  /// The stream must outlive the reader.
  explicit MessageReader(std::istream& in) : in_(in) {}

  /// The next message, or nothing at the end of the input. Blocks on the stream. Throws config::ConfigError
  /// if a line is not a message.
  std::optional<Message> next();

 private:
  std::istream& in_;
  std::string line_;
  simdjson::dom::parser parser_;
};

// The functions below read fields of messages. They throw config::ConfigError, which names the message and
// the field, if a field is missing or has an invalid value.

/// The time of the batch, from batchStarted.
TimePoint parseBatchTime(const config::JsonFields&);
/// The number of the gateway that receives the message; every message except batchStarted and batchEnded has
/// one.
std::int64_t parseGatewayNumber(const config::JsonFields&);
GatewayStart parseGatewayStart(const config::JsonFields&);
/// The request that a requestArrived, clientDisconnected or attemptEnded message refers to.
WireRequestId parseRequestIdField(const config::JsonFields&);
RequestArrival parseRequestArrival(const config::JsonFields&);
/// `loadFieldNames`: as in the gateway's GatewayStart. Load values without a name there are ignored.
AttemptEnd parseAttemptEnd(const config::JsonFields&, const std::vector<std::string>& loadFieldNames);
/// Nothing if the counter's name cannot be one that counterName() returns.
std::optional<CounterCallEnd> parseCounterCallEnd(const config::JsonFields&);
/// Nothing if the message only reports that discovery became unavailable.
std::optional<config::EndpointList> parseEndpointList(const config::JsonFields&);

}  // namespace merlinbridge::simulator_adapter
