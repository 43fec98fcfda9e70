#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "gateway_core/client_request_ids.hpp"
#include "gateway_core/deadline_queue.hpp"
#include "gateway_core/slot_table.hpp"
#include "policy_api/ids.hpp"

namespace merlinbridge::core {

/// One attempt of a request at a host.
struct Attempt {
  enum class State : std::uint8_t { inFlight, ended };
  HostId host;
  TimePoint startedAt;
  SlotRef connection;  ///< Carries the attempt; empty until the transport has started it.
  State state = State::inFlight;
  std::uint32_t incarnation = 0;  ///< Of the host at the start; see HostDirectory::incarnationOf().
};

/// A request that is unanswered or still has attempts in flight, with all its attempts so far.
struct PendingRequest {
  /// A request whose client has disconnected also counts as answered. The only transition is from unanswered
  /// to answered, made by RequestTable::markAnswered.
  enum class State : std::uint8_t { unanswered, answered };
  SlotRef client;
  TimePoint deadline;  ///< The core fails the request at this time if it is unanswered.
  std::optional<ClientRequestId> clientRequestId;  ///< Empty if the client's protocol has none.
  bool isIdempotent = false;                       ///< Whether hosts may execute the request more than once.
  /// What an execution after the end of the request would do.
  Repeat repeat = Repeat::harmful;
  DeadlineQueue::Handle answerDeadlineTimer;
  State state = State::unanswered;
  std::uint32_t attemptsInFlight = 0;
  std::vector<Attempt> attempts;  ///< Indexed by AttemptNumber.

  /// Adds an attempt in flight and returns its number.
  AttemptNumber addAttempt(HostId, TimePoint now);
  /// Returns the attempt, or nullptr if it does not exist or has ended.
  Attempt* findInFlight(AttemptNumber);
  /// Ends an attempt in flight of this request.
  void endAttempt(Attempt&);
};

/// The gateway's pending requests by RequestId; owns them. Not thread-safe.
class RequestTable {
 public:
  /// Adds an unanswered request. Its id is not used again after the request is dropped.
  RequestId add(SlotRef client, TimePoint deadline);
  /// Returns the request, or nullptr if the table does not contain it. Valid until the request is dropped.
  PendingRequest* find(RequestId requestId) { return requests_.find(SlotRef::unpacked(requestId.value)); }
  /// Moves an unanswered request to State::answered and returns it; nullptr if it is already answered or not
  /// found. The caller that gets the request sends its final answer.
  PendingRequest* markAnswered(RequestId);
  /// Returns the number of attempts of the request so far; 0 if it is not found.
  std::size_t attemptCount(RequestId);
  void drop(RequestId requestId) { requests_.drop(SlotRef::unpacked(requestId.value)); }
  /// The number of requests without a final answer.
  std::size_t unansweredCount() const { return unansweredCount_; }
  /// Calls `visitor(RequestId, PendingRequest&)` for each request. The visitor must not add or drop requests.
  template <class Visitor>
  void forEach(Visitor visitor) {
    requests_.forEach(
        [&](SlotRef ref, PendingRequest& request) { visitor(RequestId{ref.packed()}, request); });
  }

 private:
  SlotTable<PendingRequest> requests_;
  std::size_t unansweredCount_ = 0;
};

}  // namespace merlinbridge::core
