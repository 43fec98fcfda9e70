#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "policy_api/ids.hpp"
#include "simulator_adapter/message.hpp"

/// Converts identifiers to and from their form on the simulator's wire.
namespace merlinbridge::simulator_adapter {

/// Parses 16 hex digits; nothing if the text has another form.
std::optional<WireRequestId> parseRequestId(std::string_view text);

/// The counter's name on the simulator's counter service: "u" for quota usage or "o" for time in flight, then
/// the customer, a dot and the slot.
std::string counterName(const CounterKey&);

/// The key of a counter that was named by counterName(); nothing if the text cannot be such a name.
std::optional<CounterKey> parseCounterName(std::string_view name);

}  // namespace merlinbridge::simulator_adapter
