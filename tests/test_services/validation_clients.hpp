#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "asio_names.hpp"
#include "emulator/metrics.hpp"
#include "emulator/random_stream.hpp"
#include "http/message.hpp"

namespace merlinbridge::test_services {

/// A scenario's clients on sockets: the requests that the emulator's clients make with the same seed, at the
/// same times, retried in the same way.
class ValidationClients {
 public:
  /// Starts at once. The scenario must outlive the clients; `gateways` are the daemons' addresses.
  ValidationClients(asio::io_context& io, const emulator::Scenario& scenario, std::uint64_t seed,
                    std::vector<Tcp::endpoint> gateways);

  /// Returns true once the last request has arrived and all requests are answered.
  bool finished() const { return lastArrivalPassed_ && unansweredRequests_ == 0; }
  /// The clients' metrics so far; those of hosts and services are 0.
  const emulator::Metrics& metrics() const { return metrics_; }

 private:
  /// A request as the client sees it, sent in one or more attempts.
  struct ClientRequest {
    std::uint64_t customer = 0;
    std::size_t plan = 0;
    std::size_t method = 0;
    double units = 0;
    WallClock::time_point arrivedAt;
    WallClock::time_point deadline;
    int attemptsLeft = 0;
    int attemptsMade = 0;
    bool ended = false;
  };
  /// A connection to a gateway, with the attempt in progress.
  struct Connection {
    Connection(asio::io_context& io, std::size_t gatewayIndex)
        : socket(io), timeout(io), gateway(gatewayIndex) {}
    Tcp::socket socket;
    asio::steady_timer timeout;
    std::size_t gateway;
    std::string unsent;
    std::string received;
    std::size_t receivedBytes = 0;
    bool attemptEnded = false;
    http::Message response{http::Message::Kind::response};
  };
  using RequestPtr = std::shared_ptr<ClientRequest>;
  using ConnectionPtr = std::shared_ptr<Connection>;
  enum class MayRetry { no, yes };

  void scheduleArrival();
  void startRequest();
  void startAttempt(const RequestPtr&);
  std::string attemptText(const ClientRequest&, std::uint32_t firstGateway, std::uint32_t spread);
  void startTimeout(const RequestPtr&, const ConnectionPtr&);
  void connect(const RequestPtr&, const ConnectionPtr&);
  void send(const RequestPtr&, const ConnectionPtr&);
  void receive(const RequestPtr&, const ConnectionPtr&);
  void handleResponse(const RequestPtr&, const ConnectionPtr&);
  void handleConnectionLost(const RequestPtr&, const ConnectionPtr&);
  MayRetry mayRetryAfterFailure(const ClientRequest&) const;
  void retryOrFail(const RequestPtr&, MayRetry, double retryAfterSeconds);
  void succeed(ClientRequest&);
  void fail(ClientRequest&);

  asio::io_context& io_;
  const emulator::Scenario& scenario_;
  std::vector<Tcp::endpoint> gateways_;
  std::vector<std::vector<ConnectionPtr>> idleConnections_;  ///< By gateway.
  emulator::RandomStream arrivals_;
  emulator::RandomStream choices_;
  asio::steady_timer arrivalTimer_;
  WallClock::time_point startedAt_;
  Duration nextArrival_{0};  ///< Since startedAt_.
  std::uint64_t attemptCount_ = 0;
  /// Cumulative weights of customers, methods and plans.
  std::vector<double> customerWeights_;
  std::vector<double> methodWeights_;
  std::vector<double> planWeights_;
  emulator::Metrics metrics_;
  std::size_t unansweredRequests_ = 0;
  bool lastArrivalPassed_ = false;
};

}  // namespace merlinbridge::test_services
