#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

#include "simulator_adapter/message.hpp"

namespace merlinbridge::simulator_adapter {

/// Reads the simulator's messages from a stream: one JSON object a line with one member, whose name is the
/// message's and whose value holds its fields. Blank lines are skipped.
class MessageReader {
 public:
  /// The stream must outlive the reader.
  explicit MessageReader(std::istream& in) : in_(in) {}

  /// The next message, or nothing at the end of the input. Blocks on the stream. Throws config::ConfigError
  /// on a line that is no message.
  std::optional<Message> next();

 private:
  std::istream& in_;
  std::string line_;
  simdjson::dom::parser parser_;
};

// The functions below each read the fields of one kind of message. All throw config::ConfigError, which names
// the message and the field, when a field is missing or has an impossible value.

/// The batch's time, from batchStarted.
TimePoint parseBatchTime(const config::JsonFields&);
/// The number of the gateway that a message is for; all but those about batches have one.
std::int64_t parseGatewayNumber(const config::JsonFields&);
GatewayStart parseGatewayStart(const config::JsonFields&);
/// The request that requestArrived, clientDisconnected and attemptEnded are about.
WireRequestId parseRequestIdField(const config::JsonFields&);
RequestArrival parseRequestArrival(const config::JsonFields&);
/// `loadFieldNames`: as in the gateway's GatewayStart. Figures beyond the named ones are ignored.
AttemptEnd parseAttemptEnd(const config::JsonFields&, const std::vector<std::string>& loadFieldNames);
/// Nothing if the counter's name is not one that this adapter gives.
std::optional<CounterCallEnd> parseCounterCallEnd(const config::JsonFields&);
/// Nothing if the message only says that discovery was lost.
std::optional<config::EndpointList> parseEndpointList(const config::JsonFields&);

}  // namespace merlinbridge::simulator_adapter
