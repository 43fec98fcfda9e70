/// \file
/// Each form of request meets each form of response, over client connections in every state, as drawn from a
/// seed: a client reads one whole final response for each request, at most one interim response, only if it
/// has asked for one, and nothing behind. MERLINBRIDGE_EXCHANGE_SEEDS="FIRST COUNT" chooses the seeds.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <map>
#include <random>

#include "exchange_forms.hpp"
#include "http_text.hpp"
#include "overloaded_gateway.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

constexpr unsigned kClientThreads = 8;
constexpr std::size_t kStalledClients = 480;
constexpr unsigned kWholePerSpoilt = 12;      // hosts with many spoilt responses get no requests
constexpr Duration kResponseTime = 1400ms;    // the requests' deadline, and the half second that still counts
constexpr Duration kMaxAttemptDelay = 150ms;  // between a client's final response and the start of an attempt
constexpr Duration kPollInterval = 100us;
// SIGKILL comes no earlier after SIGTERM than the longest deadline of the test's configuration and 0.7 s.
constexpr Duration kKilledAfter = 2700ms;
const std::string kInterimResponse = "HTTP/1.1 100 Continue\r\n\r\n";

std::pair<unsigned, unsigned> seedRange() {
  std::pair<unsigned, unsigned> range{1, 6};
  if (const char* const text = std::getenv("MERLINBRIDGE_EXCHANGE_SEEDS"))
    std::istringstream(text) >> range.first >> range.second;
  return range;
}

/// What the clients of one thread have seen.
struct ExchangeRecord {
  std::size_t exchanges = 0;
  std::size_t served = 0;
  std::size_t crossed = 0;  ///< Closed without a byte of a response while the gateway shuts down.
  std::vector<std::string> violations;
  std::map<std::string, SteadyTime> endedAt;  ///< By Req-Id.
};

enum class ShutdownPhase { running, draining };

/// Sends requests one after another on a connection, in drawn forms, and checks what it reads.
class ExchangingClient {
 public:
  ExchangingClient(std::uint16_t port, unsigned seed, const std::atomic<ShutdownPhase>& phase)
      : port_(port), phase_(phase), random_(seed), peer_(TestPeer::connectTo(port)) {}

  void exchange(ExchangeRecord& record) {
    const bool isWhole = below(kWholePerSpoilt + 1) > 0;
    const unsigned hostForm =
        isWhole ? below(kWholeHostForms) : kWholeHostForms + below(kHostForms - kWholeHostForms);
    const RequestForm request = makeRequest(below(kRequestForms), hostForm);
    if (below(8) == 0 || peer_.isClosedByRemote()) peer_ = TestPeer::connectTo(port_);
    what_ = request.name + ", host form " + std::to_string(hostForm) + ": ";
    interimResponses_ = 0;
    const bool wasDraining = phase_ == ShutdownPhase::draining;
    sendRequest(request);
    const bool isComplete =
        waitFor([&] { return hasFinalResponse() || peer_.remoteClosed; }) && hasFinalResponse();
    ++record.exchanges;
    record.endedAt[request.requestId] = std::chrono::steady_clock::now();
    if (isComplete)
      checkResponse(request, hostForm, record);
    else if ((wasDraining || phase_ == ShutdownPhase::draining) && peer_.remoteClosed && isUntouched())
      ++record.crossed;
    else
      violation(record, "no whole final response, read " + std::to_string(peer_.receivedBytes.size()) +
                            " bytes: " + peer_.receivedBytes.substr(0, 80));
    if (!isComplete) peer_ = TestPeer::connectTo(port_);
    peer_.receivedBytes.clear();
  }

 private:
  unsigned below(unsigned limit) { return static_cast<unsigned>(random_() % limit); }
  bool isUntouched() const { return peer_.receivedBytes.empty() && interimResponses_ == 0; }
  void violation(ExchangeRecord& record, const std::string& text) {
    record.violations.push_back(what_ + text);
  }

  bool waitFor(const std::function<bool()>& done) {
    const SteadyTime end = std::chrono::steady_clock::now() + kResponseTime;
    while (!done()) {
      if (std::chrono::steady_clock::now() > end) return false;
      std::this_thread::sleep_for(kPollInterval);
    }
    return true;
  }

  bool hasFinalResponse() {
    std::string& bytes = peer_.readAvailable();
    std::size_t end = 0;
    while (std::string_view(bytes).substr(end).starts_with(kInterimResponse)) end += kInterimResponse.size();
    bytes.erase(0, end);
    interimResponses_ += end / kInterimResponse.size();
    return completeMessageSize(bytes).has_value();
  }

  void write(std::string_view bytes) {
    const std::size_t piece = below(3) == 0 ? 1 + below(2000) : bytes.size();
    while (!bytes.empty() && !peer_.remoteClosed) {
      const std::size_t taken = peer_.trySend(bytes.substr(0, piece));
      bytes.remove_prefix(taken);
      if (taken == 0 && peer_.isClosedByRemote()) return;
      if (!bytes.empty()) std::this_thread::sleep_for(kPollInterval);
    }
  }

  void sendRequest(const RequestForm& request) {
    const std::string_view body = request.body;
    switch (request.timing) {
      case BodyTiming::withHead:
        return write(request.head + request.body);
      case BodyTiming::partOfBodyLast:
        write(request.head + std::string(body.substr(0, 1)));
        std::this_thread::sleep_for(std::chrono::milliseconds(below(5)));
        return write(body.substr(1));
      case BodyTiming::afterInterim:
        write(request.head);
        waitFor([&] { return hasFinalResponse() || interimResponses_ > 0 || peer_.remoteClosed; });
        std::this_thread::sleep_for(std::chrono::milliseconds(below(30)));
        if (!hasFinalResponse()) write(body);
    }
  }

  void checkResponse(const RequestForm& request, unsigned hostForm, ExchangeRecord& record) {
    const std::string& bytes = peer_.receivedBytes;
    const std::string head = bytes.substr(0, bytes.find(kHeadEnd));
    const bool isOk = bytes.starts_with("HTTP/1.1 200");
    const std::string content = bytes.substr(head.size() + std::string_view(kHeadEnd).size());
    if (interimResponses_ > (request.expectsInterim ? 1U : 0U))
      violation(record, std::to_string(interimResponses_) + " interim responses");
    if (*completeMessageSize(bytes) != bytes.size()) violation(record, "bytes behind the final response");
    if (isOk && (!request.isSound || hostForm >= kWholeHostForms)) violation(record, "served for " + head);
    if (isOk && content != contentFor(request.requestId, request.content)) violation(record, "changed body");
    if (!request.isSound && !bytes.starts_with("HTTP/1.1 4") && !bytes.starts_with("HTTP/1.1 503"))
      violation(record, "not refused: " + head);
    record.served += isOk;
    if (fieldOf(head, "Connection") != "close") return;
    if (!waitFor([&] { return peer_.isClosedByRemote(); }))
      violation(record, "not closed after Connection: close");
    if (*completeMessageSize(peer_.receivedBytes) != peer_.receivedBytes.size())
      violation(record, "bytes behind the last response");
  }

  const std::uint16_t port_;
  const std::atomic<ShutdownPhase>& phase_;
  std::ranlux24_base random_;
  TestPeer peer_;
  std::string what_;
  std::size_t interimResponses_ = 0;
};

/// One run. The draws depend on the seed alone.
class ExchangeRun {
 public:
  explicit ExchangeRun(unsigned seed) : random_(seed), gateway_(1ms, makeResponse) {}

  void play() {
    const bool memoryIsShort = random_() % 3 == 0;
    std::unique_ptr<FloodingClients> stalled;
    if (memoryIsShort) stalled = stallClients();
    std::vector<ExchangeRecord> records(kClientThreads);
    std::vector<std::thread> threads;
    threads.reserve(records.size());
    for (ExchangeRecord& record : records)
      threads.emplace_back(
          [this, &record, seed = static_cast<unsigned>(random_())] { runClient(seed, record); });
    std::this_thread::sleep_for(2s);
    phase_ = ShutdownPhase::draining;
    const SteadyTime signalledAt = std::chrono::steady_clock::now();
    gateway_.program.signal(SIGTERM);
    for (auto count = random_() % 3; count > 0; --count) {
      std::this_thread::sleep_for(std::chrono::milliseconds(random_() % 300));
      gateway_.program.signal(random_() % 2 == 0 ? SIGHUP : SIGTERM);
    }
    const int exitStatus = gateway_.program.exitStatus();
    CHECK(std::chrono::steady_clock::now() < signalledAt + kKilledAfter);
    stopped_ = true;
    for (std::thread& thread : threads) thread.join();
    stalled.reset();
    CHECK(exitStatus == 0);
    CHECK(gateway_.program.log().find("event_loop_stalled") == std::string::npos);
    std::size_t served = 0;
    for (const ExchangeRecord& record : records) served += record.served;
    CHECK(served > 0);
    for (const ExchangeRecord& record : records) check(record);
  }

 private:
  std::unique_ptr<FloodingClients> stallClients() {
    return std::make_unique<FloodingClients>(gateway_.program.listenPort, kStalledClients, Answers::read, [] {
      return replaceOnce(clientRequest("pay", std::string(60'000, 'x')), "60000", "65536");
    });
  }

  void runClient(unsigned seed, ExchangeRecord& record) {
    ExchangingClient client(gateway_.program.listenPort, seed, phase_);
    while (!stopped_) client.exchange(record);
  }

  void check(const ExchangeRecord& record) {
    INFO("exchanges " << record.exchanges << ", served " << record.served << ", crossed " << record.crossed);
    for (const std::string& violation : record.violations) UNSCOPED_INFO(violation);
    CHECK(record.violations.empty());
    std::size_t late = 0;
    for (const ReceivedRequest& request : gateway_.hosts.received()) {
      const auto ended = record.endedAt.find(request.id);
      late += ended != record.endedAt.end() && request.firstByteAt > ended->second + kMaxAttemptDelay;
    }
    CHECK(late == 0);
  }

  std::ranlux24_base random_;
  OverloadedGateway gateway_;
  std::atomic<ShutdownPhase> phase_ = ShutdownPhase::running;
  std::atomic<bool> stopped_ = false;
};

}  // namespace

TEST_CASE("Exchanges: one whole final response for each request, whatever its form and the host's response") {
  const auto [first, count] = seedRange();
  for (unsigned seed = first; seed < first + count; ++seed) {
    INFO("seed " << seed);
    ExchangeRun(seed).play();
  }
}
