#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "net/client/waiting_clients.hpp"
#include "net/event_loop.hpp"

namespace merlinbridge::net {

class ClientConnection;

/// What evictConnections() has done, and when it is to be called again.
struct EvictionResult {
  bool hasFreedPlaces = false;      ///< Connections were closed and no longer count towards the limit.
  std::optional<TimePoint> nextAt;  ///< When more can give way; empty if only events can change that.
};

/// Selects and closes connections when the connection limit is reached and another client is waiting: first
/// those that have been idle longest, then those whose request has been incomplete for half of its time. Each
/// gets a lingering close and keeps its place until its client closes, too.
///
/// Once waiting clients are overdue (see WaitingClients), stalled requests give way first, those that have
/// sent nothing for longest before others, and lingering connections whose clients have got everything are
/// closed.
///
/// Connections with a request in progress at the core are never evicted.
class ClientEviction {
 public:
  /// `closeTimeout`: how long a client may take to close its side of an evicted connection.
  ClientEviction(EventLoop& loop, std::size_t maxConnections, Duration closeTimeout)
      : loop_(loop), maxConnections_(maxConnections), closeTimeout_(closeTimeout) {}

  /// Starts closing connections until the target number is closing. The target starts at one and doubles with
  /// each call, up to a limit.
  EvictionResult evictConnections(const std::vector<SlotRef>& connections, const WaitingClients& waiting);
  /// No client is waiting: resets the target to one.
  void reset() { evictionTarget_ = 1; }

 private:
  struct IncompleteEvictions {
    std::size_t count = 0;
    std::optional<TimePoint> nextAt;  ///< When the next incomplete request may be evicted.
  };

  std::size_t countLingering(const std::vector<SlotRef>& connections);
  std::size_t closeLingering(const std::vector<SlotRef>& connections, std::size_t maxCount,
                             Duration quietTime);
  std::size_t evictIdle(const std::vector<SlotRef>& connections, std::size_t maxCount);
  IncompleteEvictions evictIncomplete(const std::vector<SlotRef>& connections, std::size_t maxCount,
                                      const WaitingClients& waiting);
  template <class Predicate>
  std::vector<ClientConnection*> selectConnections(const std::vector<SlotRef>& connections,
                                                   Predicate predicate);

  EventLoop& loop_;
  const std::size_t maxConnections_;
  const Duration closeTimeout_;
  std::size_t evictionTarget_ = 1;
};

}  // namespace merlinbridge::net
