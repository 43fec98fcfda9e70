#pragma once

#include <iosfwd>

/// Runs many gateways in one process for the simulator of the platform: the daemon's core without its
/// sockets. A message reader and a message writer translate between the simulator's wire and typed messages,
/// a GatewayInstance drives one core, and a Session holds the instances and the batch that is being read.
namespace merlinbridge::simulator_adapter {

/// Answers batches of messages until the input ends between two of them. Blocks on `in`; each reply is
/// flushed to `out`. Throws config::ConfigError on input that cannot be understood.
void serve(std::istream& in, std::ostream& out);

}  // namespace merlinbridge::simulator_adapter
