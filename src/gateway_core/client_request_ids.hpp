#pragma once

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "policy_api/time.hpp"

namespace merlinbridge::core {

/// The ids that clients gave to their requests (Req-Id) and that no other request may have now. A client uses
/// a fresh id for each request, so a request with an id of this table is a copy of another client's request:
/// it must not be forwarded, because hosts do not know of each other's requests and would execute both.
///
/// An id is *open* from the arrival of its request until the request ends. The id of a request that must not
/// be executed twice is *closed* afterwards, for a fixed time, because a copy may still be on its way. Closed
/// ids are limited in number; the oldest are forgotten first. Not thread-safe. Times must not decrease.
class ClientRequestIds {
 public:
  /// `closedFor`: how long an id stays closed.
  explicit ClientRequestIds(Duration closedFor) : closedFor_(closedFor) {}

  /// Whether the id is open or closed. Always false for the empty id, which stands for a request without one.
  bool contains(TimePoint now, std::string_view id);
  /// Opens the id, which must not be open or closed. No effect for the empty id.
  void open(std::string_view id);
  /// Closes an open id. No effect for any other id.
  void close(TimePoint now, std::string_view id);
  /// Forgets an open id. No effect for any other id.
  void forget(std::string_view id);

 private:
  enum class State { open, closed };
  using Ids = std::map<std::string, State, std::less<>>;
  struct ClosedId {
    TimePoint until;
    Ids::iterator id;
  };

  Ids::iterator findOpen(std::string_view id);
  void forgetOldestClosed();

  const Duration closedFor_;
  Ids ids_;
  std::deque<ClosedId> closed_;  ///< In the order of their end.
};

}  // namespace merlinbridge::core
