#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "net/event_loop.hpp"

namespace merlinbridge::net {

class ClientConnection;

/// Selects and closes connections when the connection limit is reached and another client is waiting: first
/// those that have been idle longest, then those whose request has been incomplete longest. Connections with
/// a request in progress at the core are never evicted.
class ClientEviction {
 public:
  /// `closeTimeout`: how long a client may take to close its side of an evicted connection.
  ClientEviction(EventLoop& loop, std::size_t maxConnections, Duration closeTimeout)
      : loop_(loop), maxConnections_(maxConnections), closeTimeout_(closeTimeout) {}

  /// Starts closing connections until the target number is closing. The target starts at one and doubles with
  /// each call, up to a limit. If an incomplete request may not be evicted yet, returns the time from which
  /// it may; the caller must call again then.
  std::optional<TimePoint> evictConnections(const std::vector<SlotRef>& connections);
  /// No client is waiting: resets the target to one.
  void reset() { evictionTarget_ = 1; }

 private:
  struct IncompleteEvictions {
    std::size_t count = 0;
    std::optional<TimePoint> nextAt;  ///< When the next incomplete request may be evicted.
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
