#pragma once

#include <optional>
#include <string>
#include <variant>

#include "gateway_core/gateway_core.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"

namespace merlinbridge::net {

class UpstreamPool;

/// The request's field that tells a host how long its answer is waited for, as the gateway writes it.
inline constexpr std::string_view kDeadlineField = "\r\nReq-Deadline-Ms: ";
/// Rounded up, one at least.
long millisecondsLeft(Duration);

/// A connection to a host: one attempt at a time, idle between them.
class UpstreamConnection final : public Connection {
 public:
  UpstreamConnection(EventLoop&, UpstreamPool&, HostId);

  /// Carries an attempt. Returns its outcome where it had one at once.
  std::optional<Outcome> start(std::string_view message, RequestId, AttemptNumber, AttemptDeadline);
  HostId host() const { return host_; }
  bool idle() const { return state_ == State::idle; }
  /// The attempt is not written whole: given up now, it never reaches the host.
  bool isUnsent() const {
    return state_ == State::attempt && !(isUp() && allWritten() && queuedRequest_.empty());
  }
  TimePoint idleSince() const { return since_; }

 private:
  enum class State { idle, attempt };

  void onData() override;
  void onClosed() override;
  void onConnected() override;
  void beforeRetry() override;
  bool mayWrite() const override;
  bool expectsMore() const override { return state_ == State::attempt && message_.begun(); }
  TimePoint waitDeadline() const override;
  void onTimeout() override;

  std::string withTimeLeft(std::string_view message) const;
  void logEnd(Outcome);
  void ended(Outcome, const core::UpstreamResponse& = {});
  Outcome outcomeOf() const;
  core::UpstreamResponse readResponse() const;
  void becomeIdle();

  UpstreamPool& hosts_;
  const HostId host_;
  http::Message message_{http::Message::Kind::answer};
  State state_ = State::idle;
  bool starting_ = false;
  RequestId requestId_{};
  AttemptNumber no_{};
  TimePoint since_, writtenBy_ = TimePoint::max(), giveUp_{};
  std::string queuedRequest_;     ///< Until the connection is up.
  std::size_t requestBytes_ = 0;  ///< Of the attempt's message.
};

/// The connections to hosts, cached for the next attempt, within their share of the descriptors.
class UpstreamPool {
 public:
  UpstreamPool(EventLoop&, std::size_t maxConnections, Duration idle, Duration connectTimeout);

  void serve(core::GatewayCore& core) { core_ = &core; }
  /// Either the connection that carries the attempt, or the outcome that it had at once.
  std::variant<SlotRef, Outcome> startAttempt(HostId, std::string_view message, RequestId, AttemptNumber,
                                              AttemptDeadline);
  void closeAttempt(SlotRef);
  bool isUnsent(SlotRef);
  /// Closes the idle connections to that host.
  void closeIdle(HostId);

 private:
  friend class UpstreamConnection;
  UpstreamConnection* connectionTo(HostId);
  bool evictIdle();
  void close(SlotRef);

  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  std::size_t maxConnections_;
  Duration idle_, connectTimeout_, reuseDelay_;
  std::vector<SlotRef> all_;
  std::vector<std::vector<SlotRef>> idleConnections_;  ///< By HostId; the one used last is taken first.
};

}  // namespace merlinbridge::net
