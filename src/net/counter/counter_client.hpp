#pragma once

#include <array>
#include <deque>
#include <string>

#include "gateway_core/gateway_core.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"

namespace merlinbridge::net {

class CounterClient;

/// One connection to the counter: calls are written one after another, their answers come in the same order.
class CounterConnection final : public Connection {
 public:
  CounterConnection(EventLoop&, CounterClient&, std::size_t number);

  void call(const CounterKey&, std::string_view message);
  std::size_t waiting() const { return calls_.size(); }
  void retire();  ///< no further calls: it ends when those on it have ended

 private:
  struct Call {
    CounterKey name;
    TimePoint madeAt;
    core::DeadlineQueue::Ticket timeout;
    bool reported;  ///< the module has been told how it ended
  };

  void onData() override;
  void onClosed() override;
  bool expectsMore() const override { return message_.begun(); }
  TimePoint waitDeadline() const override;
  void onTimeout() override { onClosed(); }
  void unanswered(TimePoint now, std::uint64_t number);
  bool mayEnd() const;

  CounterClient& counter_;
  const std::size_t number_;
  http::Message message_{http::Message::Kind::answer};
  std::deque<Call> calls_;
  std::uint64_t first_ = 0;  ///< number of the first of them, counted from when the connection was made
  TimePoint lastHeardAt_;
  bool retired_ = false;
};

/// The counter service, over few connections.
class CounterClient {
 public:
  CounterClient(EventLoop&, std::string address, Duration timeout, Duration connectTimeout, Duration idle);

  void serve(core::GatewayCore& core) { core_ = &core; }
  void add(const CounterKey&, double units, Duration keepFor);
  /// From now on calls go there; what is under way ends where it is. Throws std::invalid_argument.
  void moveTo(const std::string& address);

 private:
  friend class CounterConnection;
  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  std::string address_;
  SocketAddress peer_;
  Duration timeout_, connectTimeout_, idle_;
  std::array<SlotRef, 2> links_{};
};

}  // namespace merlinbridge::net
