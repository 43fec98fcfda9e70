#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "policy_api/ids.hpp"
#include "simulator_adapter/message.hpp"

/// Identifiers as texts on the simulator's wire, both ways.
namespace merlinbridge::simulator_adapter {

/// Reads 16 hex digits; nothing if the text is anything else.
std::optional<WireRequestId> parseRequestId(std::string_view text);

/// Names a counter on the simulator's counter service: "u" for quota use or "o" for time in flight, the
/// customer, a dot, the slot.
std::string counterName(const CounterKey&);

/// The key of a counter that this adapter named; nothing if the text cannot be such a name.
std::optional<CounterKey> parseCounterName(std::string_view name);

}  // namespace merlinbridge::simulator_adapter
