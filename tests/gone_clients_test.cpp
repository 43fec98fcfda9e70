#include <catch2/catch.hpp>
#include <thread>

#include "world.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

// A client that has closed is sent nothing more for, though its end stands unread behind what the gateway
// handles first.
namespace {

constexpr const char* kDeclined = "HTTP/1.1 503 x\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";

// Several hosts of one gateway, and the requests that have reached them whole.
struct Farm {
  explicit Farm(std::size_t count) : listeners(count) {
    for (std::size_t h = 0; h < count; ++h)
      list += (h ? "," : "") + hostLine(listeners[h].port, "h" + std::to_string(h), "in_service");
  }
  // Requests that wait for their answer.
  std::size_t requests() {
    for (const PeerListener& listener : listeners)
      for (std::optional<Peer> more; listener.accept(more);) connections.push_back(std::move(*more));
    return static_cast<std::size_t>(
        std::count_if(connections.begin(), connections.end(), [](Peer& at) { return at.holds("\r\n\r\n"); }));
  }
  void answer(std::string_view text) {
    for (Peer& connection : connections)
      if (connection.holds("\r\n\r\n")) connection.got.clear(), connection.send(text);
  }
  // From here on some connections rest, on which a retry would be written at once.
  void rest(LoopbackGateway& d, std::size_t count) {
    std::vector<Peer> clients;
    for (std::size_t n = 0; n < count; ++n) clients.push_back(d.client());
    for (Peer& client : clients) client.send(LoopbackGateway::request("look"));
    REQUIRE(d.until([&] { return requests() == count; }));
    answer(LoopbackGateway::ok("rests"));
    REQUIRE(d.until([&] {
      return std::all_of(clients.begin(), clients.end(), [](Peer& client) { return client.holds("rests"); });
    }));
    d.pass(20ms);
  }
  std::deque<PeerListener> listeners;
  std::string list;
  std::vector<Peer> connections;
};

}  // namespace

TEST_CASE("no retry begins for a client that has closed, one or many, whichever end is read first") {
  const std::size_t many = GENERATE(1, 40);
  const bool hostFirst = GENERATE(true, false), stays = GENERATE(true, false);
  Farm farm(60);
  LoopbackGateway d(1024, farm.list);
  farm.rest(d, 100);
  std::vector<Peer> clients;
  for (std::size_t n = 0; n < many; ++n) clients.push_back(d.client());
  for (Peer& client : clients) client.send(LoopbackGateway::request("look"));
  REQUIRE(d.until([&] { return farm.requests() == many; }));
  const auto decline = [&] { farm.answer(kDeclined); };
  if (hostFirst) decline();
  for (Peer& client : clients)
    if (!stays) client.close();
  if (!hostFirst) decline();
  d.settle();
  d.pass(200ms);
  if (stays) CHECK(farm.requests() > 0);
  if (!stays) CHECK(farm.requests() == 0);
  CHECK((d.server.unanswered() == 0) == !stays);
}

TEST_CASE("no retry begins for a client that sent much ahead and closed, well within 0.1 s") {
  Farm farm(2);
  LoopbackGateway d(128, farm.list);
  farm.rest(d, 4);
  Peer client = d.client();
  std::string ahead;
  while (ahead.size() < 400'000) ahead += LoopbackGateway::request("look");
  std::size_t response = 0;
  REQUIRE(d.until([&] {
    response += client.trySend(std::string_view(ahead).substr(response));
    return farm.requests() == 1;
  }));
  // What it could hand over to its own system is still under way when it closes; its end stands behind that.
  client.close();
  d.settle();
  d.pass(70ms);
  farm.answer(kDeclined);
  d.settle();
  d.pass(200ms);
  CHECK(farm.requests() == 0);
  CHECK(d.server.unanswered() == 0);
}

TEST_CASE("what comes up in the turn in which its client closes is not sent") {
  Unreachable host;
  LoopbackGateway d(128, hostLine(host.port, "h1", "in_service"));
  d.settle();
  Peer client = d.client();
  d.settle();
  const std::size_t bodySize = GENERATE(0u, 60'000u);
  client.send(LoopbackGateway::request("look", std::string(bodySize, 'b')));
  d.settle();
  host.open();
  // The system dials again by itself a second after; nothing is handled here until then.
  std::this_thread::sleep_for(2500ms);
  client.close();
  std::optional<Peer> connection;
  REQUIRE(d.until([&] { return host.accept(connection); }));
  d.settle();
  d.pass(200ms);
  CHECK(connection->read().empty());
  CHECK(connection->ended());
  CHECK(d.server.unanswered() == 0);
}

TEST_CASE("idle clients that fill all places give way to a crowd of newcomers in few turns, closing or not") {
  constexpr std::size_t kPlaces = 64, kNew = 32;
  const bool closes = GENERATE(true, false);
  LoopbackGateway d(32 + 2 * kPlaces);
  std::deque<Peer> idle, fresh;
  const auto come = [&](std::deque<Peer>& all, std::size_t count) {
    for (std::size_t n = 0; n < count; ++n)
      all.push_back(d.client()), all.back().send("GET /health/live HTTP/1.1\r\n\r\n");
  };
  const auto served = [](std::deque<Peer>& all) {
    return std::count_if(all.begin(), all.end(), [](Peer& client) { return client.holds("live"); });
  };
  come(idle, kPlaces);
  REQUIRE(d.until([&] { return served(idle) == static_cast<long>(kPlaces); }));
  come(fresh, kNew);
  // Rounds: a client that is told to close does so only by the next; or it never does, and is given up.
  for (int round = 0; round < 7; ++round) {
    d.settle();
    if (!closes) d.pass(260ms);  // an eighth of the longest deadline
    for (Peer& client : idle)
      if (closes && client.ended()) client.close();
    d.settle();
  }
  CHECK(served(fresh) == static_cast<long>(kNew));
  CHECK(std::none_of(idle.begin(), idle.end(), [](const Peer& client) { return client.wasReset; }));
}

TEST_CASE("a host is told the time that is left when its connection comes up, not when it was dialled") {
  Unreachable host;
  LoopbackGateway d(128, hostLine(host.port, "h1", "in_service"));
  d.settle();
  Peer client = d.client();
  client.send(LoopbackGateway::request("look"));  // has 900 ms
  d.settle();
  d.pass(200ms);
  host.open();  // the system dials again by itself a second after, by its own clock
  std::optional<Peer> connection;
  std::this_thread::sleep_for(1500ms);
  REQUIRE(d.until([&] { return host.accept(connection); }));
  REQUIRE(d.until([&] { return connection->holds("\r\n\r\n"); }));
  CHECK_THAT(connection->got, Catch::Contains("Req-Deadline-Ms: 684\r\n"));
  connection->send(LoopbackGateway::ok("late but fine"));
  CHECK(d.until([&] { return client.holds("late but fine"); }));
}
