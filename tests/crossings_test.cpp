// Ends of connections in any order: generated events, several in one turn, against a plain model of what a
// client may see and what a host may get.
#include <catch2/catch.hpp>
#include <filesystem>

#include "world.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

class Days {
 public:
  explicit Days(std::uint32_t seed) : chance_(seed) {}

  void play() {
    for (int turn = 0; turn < 60; ++turn) {
      // What happens before the gateway has had a turn is all one moment to it.
      for (std::uint32_t events = below(4); events > 0; --events) happen();
      if (below(4) > 0) d_.settle();
      d_.pass(below(30) == 0 ? Duration(31s) : Duration(std::chrono::milliseconds(below(20))));
      look();
    }
    for (Host& host : hosts_) host.remote.close();
    d_.pass(3s);
    d_.settle();
    look();
    for (Client& client : clients_) {
      INFO("the last request of a client that stayed: " << client.asked);
      // Whoever stayed has its answer, or an end in good order before it was heard.
      if (client.here && client.asked > 0) CHECK((client.answered || (told_ && client.remote.over)));
      client.remote.close();
    }
    d_.settle();
    CHECK(d_.server.unanswered() == 0);
    CHECK(d_.server.allClosed());
  }

 private:
  struct Client {
    Peer remote;
    int asked = 0;  // the number of its request, 0 where it has none
    bool here = true, answered = true, half = false;
  };
  struct Host {
    Peer remote;
    std::size_t seen = 0;  // of what it has got
    int at = 0;            // the request that it has to answer
  };

  std::uint32_t below(std::uint32_t n) { return static_cast<std::uint32_t>(chance_() % n); }

  void happen() {
    switch (below(12)) {
      case 0:
        if (clients_.size() < 30) clients_.push_back({d_.client()});
        break;
      case 1:
      case 2:
      case 3:
      case 4:
        ask();
        break;
      case 5:
        leave();
        break;
      case 6:
      case 7:
      case 8:
        answer();
        break;
      case 9:
        spoil();
        break;
      case 10:
        if (below(40) == 0 && !told_) told_ = true, d_.server.leave(d_.clock.at + 900s);
        if (told_) d_.server.closeIdle();
        break;
      default:
        break;
    }
  }

  void ask() {
    if (clients_.empty()) return;
    Client& client = clients_[below(static_cast<std::uint32_t>(clients_.size()))];
    if (!client.here || !client.answered || client.half || client.remote.ended()) return;
    if (below(10) == 0) {
      client.half = true;  // and never the rest of it
      return client.remote.send("POST /pay/a HTTP/1.1\r\nReq-Id: 0001\r\nContent-Length: 9\r\n\r\nha");
    }
    client.asked = ++last_, client.answered = false, client.remote.got.clear();
    std::string message =
        LoopbackGateway::request(below(2) ? "look" : "pay", below(2) ? std::to_string(last_) : "");
    message.replace(message.find("00ff"), 4, std::to_string(last_));
    client.remote.send(message);
  }

  void leave() {
    if (clients_.empty()) return;
    Client& client = clients_[below(static_cast<std::uint32_t>(clients_.size()))];
    if (!client.here) return;
    client.here = false;
    left_.insert(client.asked);
    switch (below(3)) {
      case 0:
        return client.remote.close();
      case 1:
        return client.remote.reset();
      default:
        return client.remote.shutdownSend();
    }
  }

  Host* busy() {
    std::vector<Host*> all;
    for (Host& host : hosts_)
      if (host.at > 0) all.push_back(&host);
    return all.empty() ? nullptr : all[below(static_cast<std::uint32_t>(all.size()))];
  }

  void answer() {
    Host* const host = busy();
    if (!host) return;
    const std::string body = "for " + std::to_string(host->at) + ".";
    switch (below(6)) {
      case 0:
        host->remote.send("HTTP/1.1 200 OK\r\n\r\n" + body);  // its length is known by the end only
        return below(2) ? cut(*host) : ended(*host);
      case 1:
        host->remote.send(LoopbackGateway::ok(body, "Connection: close\r\n"));
        return ended(*host);
      case 2:
        host->remote.send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
        break;
      case 3:
        host->remote.send("HTTP/1.1 100 x\r\n\r\n" + LoopbackGateway::ok(body));
        break;
      default:
        host->remote.send(LoopbackGateway::ok(body));
        if (below(4) == 0)
          host->remote.send(LoopbackGateway::ok("once more"));  // with it: one more than was asked for
    }
    host->at = 0;
  }

  // An end or stray bytes where it rests or works.
  void spoil() {
    if (hosts_.empty()) return;
    Host& host = hosts_[below(static_cast<std::uint32_t>(hosts_.size()))];
    switch (below(4)) {
      case 0:
        return cut(host);
      case 1:
        return ended(host);
      case 2:
        host.at = 0;  // half an answer, and never the rest of it
        return host.remote.send("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nha");
      default:
        if (host.at == 0) host.remote.send("x");
    }
  }
  void cut(Host& host) { host.remote.reset(), host.at = 0; }
  void ended(Host& host) { host.remote.close(), host.at = 0; }

  void look() {
    for (std::optional<Peer> fresh; d_.host.accept(fresh); fresh.reset())
      hosts_.push_back({std::move(*fresh)});
    for (Host& host : hosts_) {
      const std::string& got = host.remote.read();
      for (std::size_t at = 0; (at = got.find("Req-Id: ", host.seen)) != std::string::npos;
           host.seen = at + 8) {
        const int requestId = std::stoi(got.substr(at + 8));
        INFO("request " << requestId << " has come to a host");
        CHECK(host.at == 0);    // one at a time
        CHECK(requestId != 1);  // half a request
        CHECK_FALSE(gone_.contains(requestId));
        host.at = requestId;
        // It may have run: where it must not run twice, it must not come again.
        const bool pays =
            got.rfind("/pay/", at) > got.rfind("/look/", at) || got.rfind("/look/", at) == std::string::npos;
        if (pays) CHECK(paid_.insert(requestId).second);
      }
    }
    for (const int requestId : left_) gone_.insert(requestId);  // heeded by now
    left_.clear();
    for (Client& client : clients_) {
      if (!client.here) continue;
      const std::string& got = client.remote.read();
      CHECK_FALSE(client.remote.wasReset);
      if (client.half && client.remote.over) client.here = false;
      if (client.half || client.answered) continue;
      const auto head = got.find("\r\n\r\n");
      if (head == std::string::npos) continue;
      client.answered = true;
      INFO("request " << client.asked << " got " << got);
      CHECK(got.find("HTTP/1.1", 1) == std::string::npos);
      if (got.starts_with("HTTP/1.1 200"))
        CHECK(got.substr(head + 4) == "for " + std::to_string(client.asked) + ".");
    }
  }

  std::ranlux24_base chance_;
  LoopbackGateway d_{256};
  std::vector<Client> clients_;
  std::vector<Host> hosts_;
  std::set<int> left_, gone_, paid_;
  int last_ = 1;
  bool told_ = false;
};

}  // namespace

TEST_CASE(
    "ends of connections in any order: one answer each, of a host's making, and nothing for who has gone") {
  const std::uint32_t seed = GENERATE(range(1u, 41u));
  INFO("seed " << seed);
  Days(seed).play();
}
