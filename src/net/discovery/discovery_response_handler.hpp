#pragma once

#include <cstddef>
#include <string>

#include "net/discovery/discovery_schedule.hpp"
#include "net/event_loop.hpp"

namespace merlinbridge::net {

/// Upper bound on an endpoint list, in bytes: enough for some thousands of hosts, indented.
inline constexpr std::size_t kMaxEndpointListBytes = 2 * 1024 * 1024;

/// What a connection to discovery reports to. All functions run on the event loop's strand. The
/// implementation outlives its connections.
class DiscoveryResponseHandler {
 public:
  virtual ~DiscoveryResponseHandler() = default;
  /// Applies an endpoint list, or a change of it. `json`: one whole JSON object. Returns false if it cannot
  /// be parsed; the connection then ends its request as failed.
  virtual bool applyEndpointList(std::string json) = 0;
  /// Bytes of a watch have come: a heartbeat, or a part of a list.
  virtual void watchReceivedData() = 0;
  /// The request of that connection has ended; the owner closes the connection. Has no effect for a
  /// connection whose request has ended before.
  virtual void requestEnded(SlotRef connection, DiscoveryOutcome) = 0;
};

}  // namespace merlinbridge::net
