#pragma once

#include <array>
#include <deque>
#include <string>

#include "gateway_core/gateway_core.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"

namespace merlinbridge::net {

class CounterClient;

// One connection to the counter: calls are written one after another, their answers come in the same order.
class CounterConnection final : public Connection {
 public:
  CounterConnection(EventLoop&, CounterClient&, std::size_t number);

  void call(const CountName&, std::string_view message);
  std::size_t waiting() const { return calls_.size(); }
  void retire();  // no further calls: it ends when those on it have ended

 private:
  struct Call {
    CountName name;
    TimePoint madeAt;
    core::DeadlineQueue::Ticket patience;
    bool told;  // the module has been told how it ended
  };

  void bytesCame() override;
  void broken() override;
  TimePoint waitEnds() const override;
  void waitedTooLong() override { broken(); }
  void unanswered(TimePoint now, std::uint64_t number);
  bool mayEnd() const;

  CounterClient& counter_;
  const std::size_t number_;
  http::Message message_{http::Message::Kind::answer};
  std::deque<Call> calls_;
  std::uint64_t first_ = 0;  // number of the first of them, counted from when the connection was made
  TimePoint heard_;
  bool retired_ = false;
};

// The counter service, over few connections.
class CounterClient {
 public:
  CounterClient(EventLoop&, std::string address, Duration patience, Duration connectTimeout, Duration idle);

  void serve(core::GatewayCore& core) { core_ = &core; }
  void add(const CountName&, double units, Duration keptFor);
  // From now on calls go there; what is under way ends where it is. Throws std::invalid_argument.
  void moveTo(const std::string& address);

 private:
  friend class CounterConnection;
  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  std::string address_;
  SocketAddress peer_;
  Duration patience_, connectTimeout_, idle_;
  std::array<SlotRef, 2> links_{};
};

}  // namespace merlinbridge::net
