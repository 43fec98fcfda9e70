#pragma once

#include <charconv>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "listener.hpp"
#include "policy_api/time.hpp"

namespace merlinbridge::test_services {

/// A host of the service: some cores behind one queue. A request whose client has disconnected is not
/// started.
class ServiceHost {
 public:
  enum class Behaviour {
    healthy,
    hangs,   ///< Reads requests and never responds.
    errors,  ///< Does the work and responds with 500.
    resets   ///< Resets the connection on each request.
  };
  enum class LoadReports { none, inHeader };

  struct Capacity {
    int cores = 1;
    int queue = 0;  ///< Maximum number of waiting requests; further ones are declined with 503.
  };
  /// How long a request of that method (header Req-Kind) occupies a core.
  using WorkOf = std::function<Duration(std::string_view method)>;

  ServiceHost(asio::io_context& io, Capacity capacity, LoadReports reports, WorkOf workOf)
      : io_(io),
        capacity_(capacity),
        reports_(reports),
        workOf_(std::move(workOf)),
        listener_(io, [this](const auto& connection, const http::Message& request) {
          handle(connection, request);
        }) {}

  std::string address() const { return listener_.address(); }
  std::size_t connections() const { return listener_.accepted(); }
  std::uint64_t requests() const { return requests_; }
  std::uint64_t answered() const { return answered_; }
  /// Cost, in units, of the requests that have arrived.
  double units() const { return units_; }

  void setBehaviour(Behaviour behaviour) { behaviour_ = behaviour; }
  void die() { listener_.die(); }

 private:
  struct QueuedRequest {
    std::shared_ptr<ServerConnection> connection;
    Duration work{};
  };

  void handle(const std::shared_ptr<ServerConnection>& connection, const http::Message& request) {
    ++requests_;
    units_ += unitsOf(request);
    if (behaviour_ == Behaviour::hangs) return;
    if (behaviour_ == Behaviour::resets) return connection->reset();
    if (busyCores_ >= capacity_.cores && queue_.size() >= static_cast<std::size_t>(capacity_.queue))
      return connection->send(httpResponse(503, "", "Srv-Declined: 1\r\n"));
    queue_.push_back({connection, workOf_(request.get("Req-Kind"))});
    startQueued();
  }
  static double unitsOf(const http::Message& request) {
    constexpr std::string_view kUnitsField = "units=";
    const auto quota = request.get("Quota-Info");
    const auto field = quota.find(kUnitsField);
    double units = 0;
    if (field != std::string_view::npos)
      std::from_chars(quota.data() + field + kUnitsField.size(), quota.data() + quota.size(), units);
    return units;
  }
  void startQueued() {
    while (busyCores_ < capacity_.cores && !queue_.empty()) {
      const QueuedRequest queued = std::move(queue_.front());
      queue_.pop_front();
      if (!queued.connection->isOpen()) continue;
      ++busyCores_;
      auto timer = std::make_shared<asio::steady_timer>(io_, queued.work);
      timer->async_wait([this, timer, connection = queued.connection](const Error&) { finish(*connection); });
    }
  }
  void finish(ServerConnection& connection) {
    --busyCores_;
    ++answered_;
    const auto now = WallClock::now();
    // The response rate decays with a time constant of one second.
    responsesPerSecond_ = responsesPerSecond_ * std::exp(-seconds(now - lastResponseAt_)) + 1;
    lastResponseAt_ = now;
    connection.send(behaviour_ == Behaviour::errors ? httpResponse(500, "")
                                                    : httpResponse(200, "ok", loadHeader()));
    startQueued();
  }
  std::string loadHeader() const {
    if (reports_ == LoadReports::none) return "";
    return fmt::format("Srv-Load: inflight={},queue={},qps={:.3f}\r\n",
                       busyCores_ + static_cast<int>(queue_.size()), queue_.size(), responsesPerSecond_);
  }

  asio::io_context& io_;
  const Capacity capacity_;
  const LoadReports reports_;
  const WorkOf workOf_;
  Behaviour behaviour_ = Behaviour::healthy;
  int busyCores_ = 0;
  double responsesPerSecond_ = 0;
  WallClock::time_point lastResponseAt_{};
  std::deque<QueuedRequest> queue_;
  std::uint64_t requests_ = 0;
  std::uint64_t answered_ = 0;
  double units_ = 0;
  Listener listener_;
};

}  // namespace merlinbridge::test_services
