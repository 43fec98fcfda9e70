#include "validation_clients.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace merlinbridge::test_services {
namespace {

using emulator::Scenario;

constexpr std::size_t kReadSize = 4096;
/// Maximum number of times that the wait before a retry is doubled.
constexpr int kMaxDoublings = 10;
/// As in the emulator, a customer's requests are distributed unevenly over its gateways.
constexpr double kGatewaySkew = 1.5;
constexpr std::uint64_t kGatewayHashFactor = 0xff51afd7ed558ccdu;
constexpr std::uint64_t kPlanHashFactor = 0x9e3779b97f4a7c15u;

constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

/// Returns the index whose interval in the cumulative weights contains `share` (0 to 1) of their total.
std::size_t indexAt(const std::vector<double>& summedWeights, double share) {
  const auto above =
      std::upper_bound(summedWeights.begin(), summedWeights.end(), share * summedWeights.back());
  return std::min(summedWeights.size() - 1, static_cast<std::size_t>(above - summedWeights.begin()));
}

void addWeight(std::vector<double>& summedWeights, double weight) {
  summedWeights.push_back((summedWeights.empty() ? 0 : summedWeights.back()) + weight);
}

double retryAfterSeconds(const http::Message& response) {
  const auto header = response.get("Retry-After");
  double advised = 0;
  std::from_chars(header.data(), header.data() + header.size(), advised);
  return advised;
}

}  // namespace

ValidationClients::ValidationClients(asio::io_context& io, const Scenario& scenario, std::uint64_t seed,
                                     std::vector<Tcp::endpoint> gateways)
    : io_(io),
      scenario_(scenario),
      gateways_(std::move(gateways)),
      idleConnections_(gateways_.size()),
      arrivals_(seed, "arrivals"),
      choices_(seed, "choices"),
      arrivalTimer_(io),
      startedAt_(WallClock::now()) {
  for (std::uint32_t customer = 0; customer < scenario.customers; ++customer)
    addWeight(customerWeights_, std::pow(double(customer) + 1, -scenario.skew));
  for (const auto& method : scenario.methods) addWeight(methodWeights_, method.share);
  for (const auto& plan : scenario.plans) addWeight(planWeights_, plan.share);
  scheduleArrival();
}

void ValidationClients::scheduleArrival() {
  nextArrival_ += durationFromSeconds(arrivals_.exponential(1 / scenario_.rate));
  if (nextArrival_ > scenario_.length) {
    lastArrivalPassed_ = true;
    return;
  }
  arrivalTimer_.expires_at(startedAt_ + nextArrival_);
  arrivalTimer_.async_wait([this](const Error& error) {
    if (error) return;
    startRequest();
    scheduleArrival();
  });
}

void ValidationClients::startRequest() {
  const auto request = std::make_shared<ClientRequest>();
  request->customer = indexAt(customerWeights_, arrivals_.uniform01()) + 1;
  request->method = indexAt(methodWeights_, arrivals_.uniform01());
  request->plan = indexAt(planWeights_, double((request->customer * kPlanHashFactor) >> 11) * 0x1p-53);
  request->units = std::clamp(std::round(arrivals_.exponential(scenario_.units)),
                              std::min(1.0, scenario_.units), std::max(1.0, 4 * scenario_.units));
  // The emulator draws here whether the client disconnects early. These clients never do; the draw keeps the
  // random stream in step with the emulator.
  arrivals_.bernoulli(scenario_.abandonProbability);
  request->arrivedAt = WallClock::now();
  request->deadline = request->arrivedAt + scenario_.methods[request->method].deadline;
  request->attemptsLeft = scenario_.maxClientAttempts;
  ++metrics_.requests;
  ++unansweredRequests_;
  startAttempt(request);
}

void ValidationClients::startAttempt(const RequestPtr& request) {
  if (request->attemptsLeft-- <= 0 || WallClock::now() >= request->deadline) return fail(*request);
  ++request->attemptsMade;
  ++metrics_.clientAttempts;
  const std::uint32_t spread = std::min(scenario_.spread, scenario_.gateways);
  const auto first =
      static_cast<std::uint32_t>((request->customer * kGatewayHashFactor >> 33) % scenario_.gateways);
  const auto offset = static_cast<std::uint32_t>(spread * std::pow(choices_.uniform01(), kGatewaySkew));
  const std::size_t gateway = (first + offset) % scenario_.gateways;

  auto& idle = idleConnections_[gateway];
  const bool reuse = !idle.empty();
  ConnectionPtr connection;
  if (reuse) {
    connection = idle.back();
    idle.pop_back();
  } else {
    connection = std::make_shared<Connection>(io_, gateway);
  }
  connection->unsent = attemptText(*request, first, spread);
  connection->received.clear();
  connection->receivedBytes = 0;
  connection->response.clear();
  connection->attemptEnded = false;
  startTimeout(request, connection);
  if (reuse) return send(request, connection);
  connect(request, connection);
}

std::string ValidationClients::attemptText(const ClientRequest& request, std::uint32_t firstGateway,
                                           std::uint32_t spread) {
  const auto& method = scenario_.methods[request.method];
  const bool isIdempotent = method.idempotency == Idempotency::idempotent;
  const bool needsKey = method.idempotency == Idempotency::deduplicated;
  const auto timeLeft =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline - WallClock::now());
  ++attemptCount_;
  return fmt::format(
      "{} /{} HTTP/1.1\r\nHost: x\r\nReq-Id: {:016x}\r\nReq-Kind: {}\r\nPlan: {}\r\nAccount: {:016x}\r\n"
      "Req-Deadline-Ms: {}\r\nQuota-Info: units={},spread={},first={}\r\n{}{}\r\n",
      isIdempotent ? "GET" : "POST", method.name, attemptCount_, method.name,
      scenario_.plans[request.plan].name, request.customer, timeLeft.count(), request.units, spread,
      firstGateway, isIdempotent ? "" : "Content-Length: 0\r\n",
      needsKey ? fmt::format("Idempotency-Key: {:x}\r\n", attemptCount_) : "");
}

void ValidationClients::startTimeout(const RequestPtr& request, const ConnectionPtr& connection) {
  connection->timeout.expires_at(request->deadline + 2 * scenario_.answerSlack);
  connection->timeout.async_wait([this, request, connection](const Error& error) {
    if (error || std::exchange(connection->attemptEnded, true)) return;
    Error ignored;
    connection->socket.close(ignored);
    fail(*request);
  });
}

void ValidationClients::connect(const RequestPtr& request, const ConnectionPtr& connection) {
  connection->socket.async_connect(gateways_[connection->gateway],
                                   [this, request, connection](const Error& error) {
                                     if (error) return handleConnectionLost(request, connection);
                                     Error ignored;
                                     connection->socket.set_option(Tcp::no_delay(true), ignored);
                                     send(request, connection);
                                   });
}

void ValidationClients::send(const RequestPtr& request, const ConnectionPtr& connection) {
  asio::async_write(connection->socket, asio::buffer(connection->unsent),
                    [this, request, connection](const Error& error, std::size_t) {
                      if (error) return handleConnectionLost(request, connection);
                      receive(request, connection);
                    });
}

void ValidationClients::receive(const RequestPtr& request, const ConnectionPtr& connection) {
  connection->received.resize(connection->receivedBytes + kReadSize);
  connection->socket.async_read_some(
      asio::buffer(connection->received.data() + connection->receivedBytes, kReadSize),
      [this, request, connection](const Error& error, std::size_t size) {
        if (connection->attemptEnded) return;
        if (error) return handleConnectionLost(request, connection);
        connection->receivedBytes += size;
        const auto stage =
            connection->response.advance(connection->received.data(), connection->receivedBytes);
        if (stage == http::Message::Stage::invalid) return handleConnectionLost(request, connection);
        if (stage != http::Message::Stage::done) return receive(request, connection);
        handleResponse(request, connection);
      });
}

void ValidationClients::handleResponse(const RequestPtr& request, const ConnectionPtr& connection) {
  connection->attemptEnded = true;
  connection->timeout.cancel();
  const int status = connection->response.status();
  const double retryAfter = retryAfterSeconds(connection->response);
  if (connection->response.keepsAlive()) idleConnections_[connection->gateway].push_back(connection);
  if (status == kStatusOk) return succeed(*request);
  if (status == kStatusTooManyRequests || status == kStatusUnavailable) {
    ++metrics_.rejected;
    return retryOrFail(request, MayRetry::yes, retryAfter);
  }
  ++metrics_.failedAnswers;
  retryOrFail(request, mayRetryAfterFailure(*request), retryAfter);
}

void ValidationClients::handleConnectionLost(const RequestPtr& request, const ConnectionPtr& connection) {
  if (std::exchange(connection->attemptEnded, true)) return;
  connection->timeout.cancel();
  ++metrics_.gatewayUnreachable;
  retryOrFail(request, mayRetryAfterFailure(*request), 0);
}

ValidationClients::MayRetry ValidationClients::mayRetryAfterFailure(const ClientRequest& request) const {
  const auto& method = scenario_.methods[request.method];
  const bool safe =
      method.idempotency == Idempotency::idempotent || (method.idempotency == Idempotency::deduplicated &&
                                                        method.deduplicationScope == DeduplicationScope::all);
  return safe ? MayRetry::yes : MayRetry::no;
}

void ValidationClients::retryOrFail(const RequestPtr& request, MayRetry mayRetry, double retryAfterSeconds) {
  if (mayRetry == MayRetry::no) return fail(*request);
  const double backoff = double(1 << std::min(kMaxDoublings, request->attemptsMade - 1));
  Duration wait = scaled(scenario_.initialBackoff, (0.5 + choices_.uniform01()) * backoff);
  if (retryAfterSeconds > 0 && choices_.bernoulli(scenario_.honorsRetryAfter))
    wait = std::max(wait, durationFromSeconds(retryAfterSeconds));
  if (WallClock::now() + wait >= request->deadline || request->attemptsLeft <= 0) return fail(*request);
  auto timer = std::make_shared<asio::steady_timer>(io_, wait);
  timer->async_wait([this, request, timer](const Error&) { startAttempt(request); });
}

void ValidationClients::succeed(ClientRequest& request) {
  if (std::exchange(request.ended, true)) return;
  --unansweredRequests_;
  const Duration took = WallClock::now() - request.arrivedAt;
  if (took <= scenario_.methods[request.method].softDeadline)
    ++metrics_.inTime;
  else
    ++metrics_.late;
  metrics_.latency.add(took);
}

void ValidationClients::fail(ClientRequest& request) {
  if (std::exchange(request.ended, true)) return;
  --unansweredRequests_;
  ++metrics_.failed;
}

}  // namespace merlinbridge::test_services
