#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "net/event_loop.hpp"

namespace merlinbridge::net {

class ClientConnection;

/// Decides which connections close so that a client that waits can be accepted: those that have been idle for
/// longest, then those whose request has been incomplete for longest. Connections with a request at the core
/// are never evicted. It is asked when a client waits and all slots are taken.
class ClientEviction {
 public:
  /// `closeTimeout`: the time that a client has to close an evicted connection.
  ClientEviction(EventLoop& loop, std::size_t maxConnections, Duration closeTimeout)
      : loop_(loop), maxConnections_(maxConnections), closeTimeout_(closeTimeout) {}

  /// Begins to close some of the connections, unless enough are closing already. Asks for one at first and
  /// for twice as many at each further call, up to a bound. Returns when the next incomplete request may be
  /// evicted, if that was too early for one; evictConnections() is to be called again then.
  std::optional<TimePoint> evictConnections(const std::vector<SlotRef>& connections);
  /// No client waits: the next evictConnections() asks for one connection.
  void reset() { evictionTarget_ = 1; }

 private:
  struct IncompleteEvictions {
    std::size_t count = 0;
    std::optional<TimePoint> nextAt;
  };

  std::size_t countClosing(const std::vector<SlotRef>& connections);
  std::size_t evictIdle(const std::vector<SlotRef>& connections, std::size_t maxCount);
  IncompleteEvictions evictIncomplete(const std::vector<SlotRef>& connections, std::size_t maxCount);
  template <class Predicate>
  std::vector<ClientConnection*> selectConnections(const std::vector<SlotRef>& connections,
                                                   Predicate predicate);

  EventLoop& loop_;
  const std::size_t maxConnections_;
  const Duration closeTimeout_;
  std::size_t evictionTarget_ = 1;
};

}  // namespace merlinbridge::net
