#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "gateway_core/gateway_core.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"

namespace merlinbridge::net {

/// Callbacks and queries of an upstream connection, implemented by the pool. They are called on the event
/// loop's strand, during a turn.
class UpstreamConnectionOwner {
 public:
  virtual ~UpstreamConnectionOwner() = default;

  /// Closes the connection and removes it from the pool. The object exists until the turn ends.
  virtual void closeConnection(SlotRef connection) = 0;
  /// Closes all idle connections to a host. Called after a connect timeout: the machine may have vanished.
  virtual void closeIdle(HostId host) = 0;
  /// An idle connection was closed or reset by the host.
  virtual void idleConnectionBroke(HostId host) = 0;
  /// The connection has become idle and may carry the next attempt.
  virtual void connectionIdle(HostId host, SlotRef connection) = 0;
  /// An attempt has ended. The implementation may start the next attempt, possibly on this connection.
  /// `response` points into the connection's buffer and is valid during the call.
  virtual void attemptEnded(TimePoint now, RequestId requestId, AttemptNumber attemptNumber, Outcome outcome,
                            const core::UpstreamResponse& response) = 0;
  /// Returns true if the request has not been answered and its client is still connected.
  virtual bool clientAwaitsAnswer(RequestId requestId) = 0;
  /// The host's name for the log.
  virtual std::string_view hostName(HostId host) const = 0;
};

/// Counts the processes that have been known under one host's id. A connection leads to the process of its
/// incarnation and to no other.
struct Incarnation {
  std::uint32_t number = 0;
  bool operator==(const Incarnation&) const = default;
};

/// Timeouts of an upstream connection.
struct UpstreamTimeouts {
  Duration connect;  ///< From the start of the connect until the connection is up.
  Duration idle;     ///< Without an attempt.
};

/// A connection to a host. It carries one attempt at a time and is idle between attempts. An UpstreamPool
/// opens and closes it.
class UpstreamConnection final : public Connection {
 public:
  /// `owner` must outlive the connection.
  UpstreamConnection(EventLoop& loop, UpstreamConnectionOwner& owner, HostId host, Incarnation incarnation,
                     const UpstreamTimeouts& timeouts);

  /// Starts an attempt. The connection must be idle: connected, or still dialling and without an attempt.
  /// `message` is the whole request; what cannot be written immediately is copied. Returns the outcome if the
  /// attempt ends immediately; the connection is then closed. Otherwise
  /// UpstreamConnectionOwner::attemptEnded() is called in a later turn.
  std::optional<Outcome> start(std::string_view message, RequestId requestId, AttemptNumber attemptNumber,
                               AttemptDeadline deadline);
  HostId host() const { return host_; }
  /// The incarnation of the host when the connection was opened.
  Incarnation incarnation() const { return incarnation_; }
  bool idle() const { return state_ == State::idle; }
  /// Returns true if the attempt's request has not been written in full. If the attempt is abandoned now, the
  /// host does not execute it.
  bool isUnsent() const {
    const bool written = isUp() && allWritten() && state_ != State::queued;
    return state_ != State::idle && !written;
  }
  /// When the connection became idle; before its first attempt, when it was created.
  TimePoint idleSince() const { return idleSince_; }

 private:
  /// All transitions. After finish() the connection returns to the pool or is closed.
  ///
  ///     idle   --start(), still dialling--> queued
  ///     idle   --start(), connected-------> starting
  ///     queued --onConnected()------------> inFlight
  ///     starting --send() has returned----> inFlight
  ///     queued, starting, inFlight --finish()--> idle
  enum class State {
    idle,      ///< No attempt. A connection that is still dialling is idle until start().
    queued,    ///< The request is unsent until the connection is up.
    starting,  ///< send() is running; a failure is returned to the caller, not reported to the owner.
    inFlight   ///< send() has returned; the response is not complete.
  };

  void onData() override;
  void onClosed() override;
  void onConnected() override;
  void beforeWritingUnsent() override;
  bool mayWrite() const override;
  bool expectsMore() const override { return state_ != State::idle && response_.hasBegun(); }
  bool mayGrowBuffer(std::size_t bytes, BufferUse) override { return loop_.buffers.request(bytes, ref()); }
  void onBufferRefused() override;
  TimePoint waitDeadline() const override;
  void onTimeout() override;

  void finish(Outcome outcome, const core::UpstreamResponse& response = {});
  void becomeIdle();
  void logAttemptEnd(Outcome outcome);

  UpstreamConnectionOwner& owner_;
  const HostId host_;
  const Incarnation incarnation_;
  const UpstreamTimeouts timeouts_;
  http::Message response_{http::Message::Kind::response};
  State state_ = State::idle;
  RequestId requestId_{};
  AttemptNumber attemptNumber_{};
  AttemptDeadline deadline_{.abandonAt = {}, .writeBy = TimePoint::max()};  ///< Of the attempt.
  TimePoint idleSince_;
  std::size_t requestBytes_ = 0;  ///< Size of the request that is being written.
};

}  // namespace merlinbridge::net
