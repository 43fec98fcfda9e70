/// \file
/// Connections that end in any order: generated events of clients and hosts, several of them in one turn of
/// the event loop. A simple model checks what clients and hosts may receive. docs/event-races.md lists the
/// cases by name.
#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "support/gateway_under_test.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

/// One generated run: 60 turns of up to three events each, then the end of all connections. Every complete
/// request has its own number, which is sent in its Req-Id and in the body of its response.
class GeneratedRun {
 public:
  explicit GeneratedRun(std::uint32_t seed) : random_(seed) {}

  void play() {
    constexpr int kTurns = 60;
    for (int turn = 0; turn < kTurns; ++turn) {
      // The gateway does not run between these events, so it sees them all in one turn.
      for (std::uint32_t events = below(4); events > 0; --events) generateEvent();
      if (below(4) > 0) gateway_.runPendingEvents();
      gateway_.advanceClock(below(30) == 0 ? kBeyondIdleTimeout
                                           : Duration(std::chrono::milliseconds(below(20))));
      checkPeers();
    }
    for (Host& host : hosts_) host.peer.close();
    gateway_.advanceClock(kBeyondLongestDeadline);
    gateway_.runPendingEvents();
    checkPeers();
    checkLastRequests();
    gateway_.runPendingEvents();
    CHECK(gateway_.server.unanswered() == 0);
    CHECK(gateway_.server.allClosed());
  }

 private:
  enum class ClientState { idle, awaitingResponse, sentIncompleteRequest, closed };
  struct Client {
    TestPeer peer;
    int lastRequest = 0;  ///< Number of its last request; 0 if none.
    ClientState state = ClientState::idle;
  };
  struct Host {
    TestPeer peer;
    std::size_t checkedBytes = 0;  ///< Of the received bytes, from the front.
    int pendingRequest = 0;        ///< Number of the request without a response; 0 if none.
  };

  static constexpr std::size_t kMaxClients = 30;
  static constexpr int kIncompleteRequestNumber = 1;
  static constexpr Duration kBeyondIdleTimeout = 31s;
  static constexpr Duration kBeyondLongestDeadline = 3s;

  std::uint32_t below(std::uint32_t bound) { return static_cast<std::uint32_t>(random_() % bound); }
  std::size_t randomIndex(std::size_t size) { return below(static_cast<std::uint32_t>(size)); }

  void generateEvent() {
    switch (below(12)) {
      case 0:
        if (clients_.size() < kMaxClients) clients_.push_back({gateway_.connectClient()});
        break;
      case 1:
      case 2:
      case 3:
      case 4:
        sendRequest();
        break;
      case 5:
        closeClient();
        break;
      case 6:
      case 7:
      case 8:
        sendResponse();
        break;
      case 9:
        disruptHostConnection();
        break;
      case 10:
        shutDown();
        break;
      default:
        break;
    }
  }

  void shutDown() {
    if (below(40) == 0 && !shuttingDown_) {
      shuttingDown_ = true;
      gateway_.server.startDraining(gateway_.clock.currentTime + 900s);
    }
    if (shuttingDown_) gateway_.server.closeIdle();
  }

  void sendRequest() {
    if (clients_.empty()) return;
    Client& client = clients_[randomIndex(clients_.size())];
    if (client.state != ClientState::idle || client.peer.isClosedByRemote()) return;
    if (below(10) == 0) {
      client.state = ClientState::sentIncompleteRequest;
      client.peer.send("POST /pay/a HTTP/1.1\r\nReq-Id: 0001\r\nContent-Length: 9\r\n\r\nha");
      return;
    }
    client.lastRequest = ++lastRequest_;
    client.state = ClientState::awaitingResponse;
    client.peer.receivedBytes.clear();
    const std::string number = std::to_string(lastRequest_);
    const bool isPay = below(2) == 0;
    const bool hasBody = isPay && below(2) == 0;
    client.peer.send(withRequestId(clientRequest(isPay ? "pay" : "look", hasBody ? number : ""), number));
  }

  void closeClient() {
    if (clients_.empty()) return;
    Client& client = clients_[randomIndex(clients_.size())];
    if (client.state == ClientState::closed) return;
    client.state = ClientState::closed;
    closedSinceCheck_.insert(client.lastRequest);
    switch (below(3)) {
      case 0:
        return client.peer.close();
      case 1:
        return client.peer.closeWithReset();
      default:
        return client.peer.shutdownSend();
    }
  }

  Host* randomBusyHost() {
    std::vector<Host*> busy;
    for (Host& host : hosts_)
      if (host.pendingRequest > 0) busy.push_back(&host);
    return busy.empty() ? nullptr : busy[randomIndex(busy.size())];
  }

  static std::string bodyFor(int request) { return "for " + std::to_string(request) + "."; }

  void sendResponse() {
    Host* const host = randomBusyHost();
    if (!host) return;
    const std::string body = bodyFor(host->pendingRequest);
    switch (below(6)) {
      case 0:
        host->peer.send(kOkHead + body);
        return below(2) ? resetConnection(*host) : closeConnection(*host);
      case 1:
        host->peer.send(okResponse(body, "Connection: close\r\n"));
        return closeConnection(*host);
      case 2:
        host->peer.send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
        break;
      case 3:
        host->peer.send("HTTP/1.1 100 x\r\n\r\n" + okResponse(body));
        break;
      default:
        host->peer.send(okResponse(body));
        if (below(4) == 0) host->peer.send(okResponse("once more"));  // a response without a request
    }
    host->pendingRequest = 0;
  }

  /// Ends a host's connection, idle or busy, or sends an incomplete response or unsolicited bytes on it.
  void disruptHostConnection() {
    if (hosts_.empty()) return;
    Host& host = hosts_[randomIndex(hosts_.size())];
    switch (below(4)) {
      case 0:
        return resetConnection(host);
      case 1:
        return closeConnection(host);
      case 2:
        host.pendingRequest = 0;  // the rest of this response never comes
        return host.peer.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha");
      default:
        if (host.pendingRequest == 0) host.peer.send("x");
    }
  }
  static void resetConnection(Host& host) {
    host.peer.closeWithReset();
    host.pendingRequest = 0;
  }
  static void closeConnection(Host& host) {
    host.peer.close();
    host.pendingRequest = 0;
  }

  void checkPeers() {
    for (std::optional<TestPeer> accepted; gateway_.host.accept(accepted); accepted.reset())
      hosts_.push_back({std::move(*accepted)});
    for (Host& host : hosts_) checkHost(host);
    // The gateway has run since these clients closed, so it must not forward their requests any more.
    closed_.merge(closedSinceCheck_);
    closedSinceCheck_.clear();
    for (Client& client : clients_)
      if (client.state != ClientState::closed) checkClient(client);
  }

  void checkHost(Host& host) {
    static const std::string kField = "Req-Id: ";
    const std::string& received = host.peer.readAvailable();
    for (std::size_t at = 0; (at = received.find(kField, host.checkedBytes)) != std::string::npos;
         host.checkedBytes = at + kField.size()) {
      const int request = std::stoi(received.substr(at + kField.size()));
      INFO("request " << request << " has arrived at a host");
      CHECK(host.pendingRequest == 0);  // one request at a time
      CHECK(request != kIncompleteRequestNumber);
      CHECK_FALSE(closed_.contains(request));
      host.pendingRequest = request;
      const auto lastPay = received.rfind("/pay/", at);
      const auto lastLook = received.rfind("/look/", at);
      const bool nonIdempotent = lastLook == std::string::npos || lastPay > lastLook;
      if (nonIdempotent) CHECK(executed_.insert(request).second);  // may have run, so never sent twice
    }
  }

  void checkClient(Client& client) {
    const std::string& received = client.peer.readAvailable();
    CHECK_FALSE(client.peer.wasReset);
    if (client.state == ClientState::sentIncompleteRequest && client.peer.remoteClosed)
      client.state = ClientState::closed;
    if (client.state != ClientState::awaitingResponse) return;
    const auto headEnd = received.find(kHeadEnd);
    if (headEnd == std::string::npos) return;
    client.state = ClientState::idle;
    INFO("request " << client.lastRequest << " has received " << received);
    CHECK(received.find("HTTP/1.1", 1) == std::string::npos);  // one response
    if (received.starts_with("HTTP/1.1 200"))
      CHECK(received.substr(headEnd + std::string_view(kHeadEnd).size()) == bodyFor(client.lastRequest));
  }

  /// Each client that is still connected has received a response to its last request, unless the gateway
  /// closed the connection for the shutdown before it read the request.
  void checkLastRequests() {
    for (Client& client : clients_) {
      INFO("last request of a client that did not close: " << client.lastRequest);
      const bool answered = client.state != ClientState::awaitingResponse;
      if (client.state != ClientState::closed && client.lastRequest > 0)
        CHECK((answered || (shuttingDown_ && client.peer.remoteClosed)));
      client.peer.close();
    }
  }

  std::ranlux24_base random_;
  GatewayUnderTest gateway_{256};
  std::vector<Client> clients_;
  std::vector<Host> hosts_;
  std::set<int> closedSinceCheck_;  ///< Last requests of clients that have closed since the last check.
  std::set<int> closed_;            ///< Last requests of clients whose close the gateway has handled.
  std::set<int> executed_;          ///< Non-idempotent requests that have arrived at a host.
  int lastRequest_ = kIncompleteRequestNumber;
  bool shuttingDown_ = false;
};

}  // namespace

TEST_CASE(
    "Connections that end in any order: each request gets one host's response, and none runs for a closed "
    "client") {
  const std::uint32_t seed = GENERATE(range(1u, 41u));
  INFO("seed " << seed);
  GeneratedRun(seed).play();
}
