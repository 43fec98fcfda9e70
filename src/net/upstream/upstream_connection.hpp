#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "gateway_core/gateway_core.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"

namespace merlinbridge::net {

/// What an upstream connection reports to its owner, the pool, and asks of it. The calls come on the event
/// loop's strand, in the middle of a turn.
class UpstreamConnectionOwner {
 public:
  virtual ~UpstreamConnectionOwner() = default;

  /// Closes the connection: it leaves the pool at once and lives on until the turn ends.
  virtual void closeConnection(SlotRef connection) = 0;
  /// Closes all idle connections to a host: a dial to it has timed out, so its machine may be gone.
  virtual void closeIdle(HostId host) = 0;
  /// The connection is idle and may carry the next attempt.
  virtual void connectionIdle(HostId host, SlotRef connection) = 0;
  /// An attempt has ended. May start the next attempt, also on this connection. `response` points into the
  /// connection's buffer and is valid during the call.
  virtual void attemptEnded(TimePoint now, RequestId requestId, AttemptNumber attemptNumber, Outcome outcome,
                            const core::UpstreamResponse& response) = 0;
  /// Returns true if the request has no answer yet and its client is still connected.
  virtual bool isPending(RequestId requestId) = 0;
  /// The host's name, for the log.
  virtual std::string_view hostName(HostId host) const = 0;
};

/// How long an upstream connection waits.
struct UpstreamTimeouts {
  Duration connect;  ///< For a dial.
  Duration idle;     ///< Between two attempts.
};

/// A connection to a host: carries one attempt at a time and is idle between attempts. An UpstreamPool
/// creates and closes it.
class UpstreamConnection final : public Connection {
 public:
  /// `owner` must outlive the connection.
  UpstreamConnection(EventLoop& loop, UpstreamConnectionOwner& owner, HostId host,
                     const UpstreamTimeouts& timeouts);

  /// Carries an attempt; the connection is idle, or dials and has carried none. `message` is the whole
  /// request, which is copied where it cannot be written at once. Returns the outcome if the attempt ends at
  /// once, and then the connection is closed; otherwise UpstreamConnectionOwner::attemptEnded() follows in a
  /// later turn.
  std::optional<Outcome> start(std::string_view message, RequestId requestId, AttemptNumber attemptNumber,
                               AttemptDeadline deadline);
  HostId host() const { return host_; }
  bool idle() const { return state_ == State::idle; }
  /// Returns true if the attempt's request has not been written in full: given up now, the attempt does not
  /// run at the host.
  bool isUnsent() const {
    const bool written = isUp() && allWritten() && state_ != State::queued;
    return state_ != State::idle && !written;
  }
  /// Since when the connection has been idle; the time of its creation before its first attempt.
  TimePoint idleSince() const { return idleSince_; }

 private:
  /// All transitions; finish() leads to idle, and the connection then goes back to the pool or is closed:
  ///
  ///     idle   --start(), still dialling--> queued
  ///     idle   --start(), connected-------> starting
  ///     queued --onConnected()------------> starting
  ///     starting --send() has returned----> inFlight
  ///     queued, starting, inFlight --finish()--> idle
  enum class State {
    idle,      ///< No attempt. A connection that dials is idle until start().
    queued,    ///< The attempt waits for the dial.
    starting,  ///< send() is writing the request; a failure goes to the caller instead of the owner.
    inFlight   ///< The request is written, at least in part, and the answer is awaited.
  };

  void onData() override;
  void onClosed() override;
  void onConnected() override;
  void beforeWritingUnsent() override;
  bool mayWrite() const override;
  bool expectsMore() const override { return state_ != State::idle && response_.hasBegun(); }
  TimePoint waitDeadline() const override;
  void onTimeout() override;

  bool write(std::string_view message);
  void finish(Outcome outcome, const core::UpstreamResponse& response = {});
  void becomeIdle();
  void logAttemptEnd(Outcome outcome);

  UpstreamConnectionOwner& owner_;
  const HostId host_;
  const UpstreamTimeouts timeouts_;
  http::Message response_{http::Message::Kind::response};
  State state_ = State::idle;
  RequestId requestId_{};
  AttemptNumber attemptNumber_{};
  AttemptDeadline deadline_{.abandonAt = {}, .writeBy = TimePoint::max()};  ///< Of the attempt.
  TimePoint idleSince_;
  std::string queuedRequest_;     ///< The request in state `queued`.
  std::size_t requestBytes_ = 0;  ///< Size of the request that is being written.
};

}  // namespace merlinbridge::net
