#pragma once

#include <algorithm>
#include <charconv>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "listener.hpp"
#include "policy_api/time.hpp"

namespace merlinbridge::test_services {

/// A counter service: keeps named totals and handles one call at a time.
class CounterService {
 public:
  enum class Behaviour {
    healthy,
    unresponsive  ///< Reads calls, adds nothing and never responds.
  };

  /// Each call takes `serviceTime`.
  CounterService(asio::io_context& io, Duration serviceTime)
      : io_(io),
        serviceTime_(serviceTime),
        listener_(io, [this](const auto& connection, const auto& request) { handle(connection, request); }) {}

  std::string address() const { return listener_.address(); }
  std::uint64_t calls() const { return calls_; }

  void setBehaviour(Behaviour behaviour) { behaviour_ = behaviour; }
  /// Clears all totals, as if this service had been replaced by an empty one.
  void loseTotals() { totals_.clear(); }
  void die() { listener_.die(); }

 private:
  /// The target of a call is "/tally/NAME?n=UNITS".
  static constexpr std::string_view kPathPrefix = "/tally/";
  static constexpr std::string_view kUnitsMark = "?n=";

  void handle(const std::shared_ptr<ServerConnection>& connection, const http::Message& request) {
    ++calls_;
    if (behaviour_ == Behaviour::unresponsive) return;
    const std::string target(request.target());
    const auto mark = target.find(kUnitsMark);
    if (!target.starts_with(kPathPrefix) || mark == std::string::npos)
      return connection->send(httpResponse(404, ""));
    double units = 0;
    std::from_chars(target.data() + mark + kUnitsMark.size(), target.data() + target.size(), units);
    const std::string name = target.substr(kPathPrefix.size(), mark - kPathPrefix.size());
    busyUntil_ = std::max(busyUntil_, WallClock::now()) + serviceTime_;
    auto timer = std::make_shared<asio::steady_timer>(io_, busyUntil_);
    timer->async_wait([this, timer, connection, name, units](const Error&) {
      connection->send(httpResponse(200, fmt::format("{:.7g}", totals_[name] += units)));
    });
  }

  asio::io_context& io_;
  const Duration serviceTime_;
  WallClock::time_point busyUntil_{};
  Behaviour behaviour_ = Behaviour::healthy;
  std::uint64_t calls_ = 0;
  std::map<std::string, double> totals_;
  Listener listener_;
};

}  // namespace merlinbridge::test_services
