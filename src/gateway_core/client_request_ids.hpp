#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

#include "policy_api/time.hpp"

namespace merlinbridge::core {

/// The id that a client gave to its request (Req-Id).
struct ClientRequestId {
  std::uint64_t value = 0;
  bool operator==(const ClientRequestId&) const = default;
};

/// What a second execution of a request would do, once the request has ended.
enum class Repeat {
  harmless,  ///< The request is idempotent, and its client has the response.
  harmful    ///< It takes effect twice, or runs for a client that has left.
};

/// The ids that clients gave to their requests and that no other request may have now. A client uses a fresh
/// id for each request, its own retries included, so a request with an id of this table is a copy: it must
/// not be forwarded, because hosts do not know of each other's requests and would execute both.
///
/// An id is *open* from the arrival of its request until the request ends and no attempt of it is in flight.
/// If a host may have executed it, the id is *closed* afterwards, for a fixed time, because a copy may still
/// be on its way. Closed ids are limited in number: where a repeat is harmless, they are forgotten early; the
/// others are kept for their time, and no further request may be taken meanwhile, see isFull(). Not
/// thread-safe. Times must not decrease.
class ClientRequestIds {
 public:
  /// `closedFor`: how long an id stays closed. `maxClosed`: how many may be closed at the same time.
  ClientRequestIds(Duration closedFor, std::size_t maxClosed)
      : closedFor_(closedFor), maxClosed_(maxClosed) {}

  /// Whether the id is open or closed.
  bool contains(TimePoint now, ClientRequestId id);
  /// Whether so many ids are closed that a further request could not be remembered.
  bool isFull(TimePoint now);
  /// Opens the id, which must not be open or closed.
  void open(ClientRequestId id) { ids_.emplace(id.value, State::open); }
  /// Closes an open id. No effect for any other id.
  void close(TimePoint now, ClientRequestId id, Repeat repeat);
  /// Forgets an open id. No effect for any other id.
  void forget(ClientRequestId id);

 private:
  enum class State : std::uint8_t { open, closed };
  struct ClosedId {
    TimePoint until{};
    std::uint64_t id = 0;
  };
  /// In the order of their end.
  using ClosedIds = std::deque<ClosedId>;

  bool isOpen(ClientRequestId id) const;
  void forgetExpired(TimePoint now);
  void forgetOldest(ClosedIds& closed);

  const Duration closedFor_;
  const std::size_t maxClosed_;
  std::unordered_map<std::uint64_t, State> ids_;  ///< Never iterated.
  ClosedIds harmless_;
  ClosedIds harmful_;
};

}  // namespace merlinbridge::core
