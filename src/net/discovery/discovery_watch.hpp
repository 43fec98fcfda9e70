#pragma once

#include <optional>
#include <random>
#include <string>

#include "config/json_stream_splitter.hpp"
#include "gateway_core/gateway_core.hpp"
#include "http/message.hpp"
#include "net/connection.hpp"

namespace merlinbridge::net {

class DiscoveryWatch;

/// How an ask ended: with a list; rejected; or with nothing that could be used.
enum class PollResult { updated, refused, silent };

/// One watch: a chunked answer without end, a line of JSON for each change.
class WatchConnection final : public Connection {
 public:
  WatchConnection(EventLoop&, DiscoveryWatch&, std::string_view message);

 private:
  void onConnected() override { lastHeardAt_ = loop_.now(); }
  void onData() override;
  void onClosed() override;
  bool expectsMore() const override { return inBody_ ? splitter_.begun() : head_.begun(); }
  TimePoint waitDeadline() const override;
  void onTimeout() override { onClosed(); }
  void takeLists();

  DiscoveryWatch& watch_;
  http::Message head_{http::Message::Kind::answer, http::Message::Body::streamed};
  http::Chunks chunks_;
  bool inBody_ = false;
  std::size_t decoded_ = 0;
  config::JsonStreamSplitter splitter_;
  TimePoint lastHeardAt_, objectBegunAt_{};
};

/// One whole list, asked for where a watch is not to be had.
class PollConnection final : public Connection {
 public:
  PollConnection(EventLoop&, DiscoveryWatch&, std::string_view message);

 private:
  void onData() override;
  void onClosed() override { over(PollResult::silent); }
  bool expectsMore() const override { return message_.begun(); }
  TimePoint waitDeadline() const override;
  void onTimeout() override { over(PollResult::silent); }
  void over(PollResult);

  DiscoveryWatch& watch_;
  http::Message message_;
  const TimePoint since_;
};

/// Discovery: keeps a watch open from the last list that was told; while it has none, it asks for whole lists
/// and now and then for a watch again.
class DiscoveryWatch {
 public:
  DiscoveryWatch(EventLoop&, std::string address, std::uint64_t from, Duration connectTimeout,
                 Duration drainGrace, std::uint64_t seed);

  void serve(core::GatewayCore& core);
  /// From now on the list comes from here, on from the last generation. Throws std::invalid_argument.
  void moveTo(const std::string& address);

 private:
  friend class WatchConnection;
  friend class PollConnection;
  void open();
  void markHealthy();
  void scheduleNext(PollResult);
  bool take(std::string line);

  EventLoop& loop_;
  core::GatewayCore* core_ = nullptr;
  std::string address_;
  SocketAddress peer_;
  std::uint64_t generation_;
  Duration connectTimeout_, drainGrace_;
  SlotRef link_{};
  core::DeadlineQueue::Ticket nextPoll_{};
  bool lost_ = false;
  int failuresInRow_ = 0, pollsSinceWatch_ = 0;  ///< in a row; lists asked for since a watch was
  std::ranlux24_base chance_;
};

}  // namespace merlinbridge::net
