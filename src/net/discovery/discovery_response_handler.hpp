#pragma once

#include <cstddef>
#include <string>

#include "net/discovery/discovery_schedule.hpp"
#include "net/event_loop.hpp"

namespace merlinbridge::net {

/// Upper bound on the size of an endpoint list, enough for several thousand hosts in indented JSON.
inline constexpr std::size_t kMaxEndpointListBytes = 2 * 1024 * 1024;

/// Receives what PollConnection and WatchConnection read. All functions run on the event loop's strand; each
/// names the connection that calls it. The implementation must outlive the connections.
class DiscoveryResponseHandler {
 public:
  virtual ~DiscoveryResponseHandler() = default;
  /// Applies a complete endpoint list or a change to it. `json`: one complete JSON object. Returns false if
  /// it cannot be parsed; the connection then ends its request as `failed`.
  virtual bool applyEndpointList(SlotRef connection, std::string json) = 0;
  /// The watch has received a heartbeat between two objects.
  virtual void watchReceivedHeartbeat(SlotRef connection) = 0;
  /// A part of the response, its head or a list, is still incomplete when it should have ended, but makes
  /// progress. Called once for each part. The connection reads on unless the handler closes it.
  virtual void responseIsSlow(SlotRef connection) = 0;
  /// The request on this connection has ended; the handler closes the connection. Ignored for a connection
  /// whose request has ended before.
  virtual void requestEnded(SlotRef connection, DiscoveryOutcome) = 0;
};

}  // namespace merlinbridge::net
