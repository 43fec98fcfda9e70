#pragma once

#include <iosfwd>

/// Runs many gateways in one process for the platform's simulator: the daemon's core without its sockets.
/// MessageReader and MessageWriter translate between the simulator's protocol and typed messages, a
/// GatewayInstance drives one core, and a Session holds the instances and the state of the current batch.
namespace merlinbridge::simulator_adapter {

/// Replies to batches of messages until the input ends. Blocks on `in`; flushes `out` after each reply.
/// Throws config::ConfigError if the input is invalid or ends inside a batch.
void serve(std::istream& in, std::ostream& out);

}  // namespace merlinbridge::simulator_adapter
