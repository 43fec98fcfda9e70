#include <catch2/catch.hpp>
#include <filesystem>

#include "world.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

// A client has asked and the host has the whole of it.
struct Asked {
  explicit Asked(LoopbackGateway& d, const std::string& message = LoopbackGateway::request("look"))
      : client(d.client()) {
    client.send(message);
    const std::string last = message.substr(message.rfind("\r\n\r\n"));
    REQUIRE(d.until([&] { return host || d.host.accept(host); }));
    REQUIRE(d.until([&] { return host->holds(last); }));
  }
  Peer client;
  std::optional<Peer> host;
};

// Answers each of what it takes for messages, of three bytes, while it still reads.
class Answering final : public net::Connection {
 public:
  using net::Connection::Connection;
  std::string taken;

 private:
  void onData() override {
    while (received() >= 3) {
      taken += buffer_.view().substr(0, 3);
      buffer_.drop(3);
      sendLater("yes");
    }
  }
  void onClosed() override {}
  TimePoint waitDeadline() const override { return TimePoint::max(); }
  void onTimeout() override {}
};

// Descriptors that this process has open.
std::size_t descriptors() {
  std::size_t n = 0;
  for ([[maybe_unused]] const auto& at : std::filesystem::directory_iterator("/proc/self/fd")) ++n;
  return n;
}

std::string statusOf(Peer& client) {
  return client.read().substr(0, 12);
}

}  // namespace

TEST_CASE("what passes on passes on unchanged, and the host's answer too") {
  LoopbackGateway d;
  const std::string body(60'000, 'q');
  Asked asked(d, LoopbackGateway::request("pay", body, "Idempotency-Key: k1\r\nContent-Type: t/x\r\n"));
  const std::string got = asked.host->got;
  CHECK_THAT(got, Catch::StartsWith("POST /pay/a?b=c HTTP/1.1\r\n"));
  for (const char* field : {"Req-Id: 00ff\r\n", "Idempotency-Key: k1\r\n", "Content-Type: t/x\r\n",
                            "Content-Length: 60000\r\n", "Req-Deadline-Ms: 884\r\n"})
    CHECK_THAT(got, Catch::Contains(field));
  CHECK_THAT(got, Catch::EndsWith("\r\n\r\n" + body));
  asked.host->send(LoopbackGateway::ok(std::string("a\0b", 3) + body));
  REQUIRE(d.until([&] { return asked.client.holds(std::string("\r\n\r\na\0b", 7) + body); }));
  CHECK(statusOf(asked.client) == "HTTP/1.1 200");
}

TEST_CASE("outcomes go by the protocol's table") {
  // A non-idempotent request may be rejected only where it is certain that it never ran.
  const auto [answer, ends, status] = GENERATE(table<std::string, bool, std::string>({
      {"HTTP/1.1 503 x\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", false, "429"},
      {"HTTP/1.1 504 x\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", false, "429"},
      {"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", false, "502"},
      {"HTTP/1.1 500 x\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", false, "502"},
      {"HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n", false, "502"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhel", true, "502"},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false, "502"},
      {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello", false, "502"},
      {"", true, "502"},
      {"", false, "502"},  // silent until the deadline
  }));
  LoopbackGateway d;
  Asked asked(d, LoopbackGateway::request("pay", "x"));
  if (!answer.empty()) asked.host->send(answer);
  if (ends) asked.host->close();
  d.settle();
  d.pass(890ms);
  REQUIRE(d.until([&] { return asked.client.holds("\r\n\r\n"); }));
  CHECK(statusOf(asked.client) == "HTTP/1.1 " + status);
  std::optional<Peer> again;
  CHECK_FALSE(d.host.accept(again));  // nothing is sent twice
  if (!ends && answer.empty()) CHECK(d.until([&] { return asked.host->ended(); }));
}

TEST_CASE("a host that refuses connections has run nothing") {
  LoopbackGateway d;
  d.host.close();
  Peer client = d.client();
  client.send(LoopbackGateway::request("pay", "x"));
  REQUIRE(d.until([&] { return client.holds("\r\n\r\n"); }));
  CHECK(statusOf(client) == "HTTP/1.1 429");
}

TEST_CASE("a host's connection is kept for the next request, and dropped before it has rested too long") {
  LoopbackGateway d;
  Asked asked(d);
  for (int n = 0; n < 3; ++n) {
    asked.host->send(LoopbackGateway::ok("one"));
    REQUIRE(d.until([&] { return asked.client.holds("one"); }));
    d.pass(20ms);
    asked.client.got.clear(), asked.host->got.clear();
    asked.client.send(LoopbackGateway::request("look"));
    REQUIRE(d.until([&] { return asked.host->holds("\r\n\r\n"); }));
  }
  asked.host->send(LoopbackGateway::ok("last"));
  d.settle();
  d.pass(29s);
  CHECK(d.until([&] { return asked.host->ended(); }));
}

TEST_CASE("a second answer that comes after the next attempt is not taken for its own") {
  LoopbackGateway d;
  Asked asked(d);
  asked.host->send(LoopbackGateway::ok("one"));
  REQUIRE(d.until([&] { return asked.client.holds("one"); }));
  asked.client.got.clear();
  asked.client.send(LoopbackGateway::request("look"));
  std::optional<Peer> fresh;
  REQUIRE(d.until([&] { return asked.host->read(), d.host.accept(fresh) || asked.host->got.size() > 400; }));
  d.pass(3ms);
  asked.host->send(LoopbackGateway::ok("one"));  // once more
  d.settle();
  CHECK_FALSE(asked.client.holds("one"));
  REQUIRE(fresh);
  REQUIRE(d.until([&] { return fresh->holds("\r\n\r\n"); }));
  fresh->send(LoopbackGateway::ok("two"));
  CHECK(d.until([&] { return asked.client.holds("two"); }));
  CHECK(asked.host->ended());
}

TEST_CASE("a resting connection whose end, or stray bytes, come in the turn in which it is wanted is left") {
  const bool stray = GENERATE(true, false), hostFirst = GENERATE(true, false);
  LoopbackGateway d;
  Asked asked(d, LoopbackGateway::request("pay", "x"));
  asked.host->send(LoopbackGateway::ok("one"));
  REQUIRE(d.until([&] { return asked.client.holds("one"); }));
  d.pass(20ms);
  asked.client.got.clear();
  const auto spoil = [&] { stray ? asked.host->send("x") : asked.host->close(); };
  if (hostFirst) spoil();
  asked.client.send(LoopbackGateway::request("pay", "y"));
  if (!hostFirst) spoil();
  std::optional<Peer> fresh;
  REQUIRE(d.until([&] { return d.host.accept(fresh); }));
  REQUIRE(d.until([&] { return fresh->holds("\r\n\r\ny"); }));
  fresh->send(LoopbackGateway::ok("two"));
  CHECK(d.until([&] { return asked.client.holds("two"); }));
}

TEST_CASE("what is still dialling when its client leaves is never sent, for one client and for many") {
  const std::size_t many = GENERATE(1, 300);
  Unreachable host;
  LoopbackGateway d(1024, hostLine(host.port, "h1", "in_service"));
  d.settle();
  std::vector<Peer> clients;
  for (std::size_t n = 0; n < many; ++n) clients.push_back(d.client());
  d.settle();
  const std::size_t before = descriptors();
  for (Peer& client : clients) client.send(LoopbackGateway::request("look"));
  REQUIRE(d.until([&] { return descriptors() > before; }));
  d.settle();
  for (Peer& client : clients) client.close();
  d.settle();
  CHECK(descriptors() == before - 2 * many);  // their own, and the gateway's ends; nothing dials any more
  CHECK(d.server.unanswered() == 0);
}

TEST_CASE("a repeat that would come up after the hosts have forgotten the first is not sent") {
  Unreachable hangs;
  PeerListener other;
  const bool comesUp = GENERATE(true, false);  // in the turn in which its time is over, or never
  const std::uint16_t second = comesUp ? other.port : hangs.port;
  LoopbackGateway d(128, "");
  std::optional<Peer> watch, first, again;
  REQUIRE(d.until([&] { return d.discovery.accept(watch); }));
  Asked asked(d, LoopbackGateway::request("save", "x", "Idempotency-Key: k\r\n"));
  watch->send("HTTP/1.1 200 OK\r\n\r\n{\"generation\":42,\"instances\":[" +
              hostLine(second, "h2", "in_service") + "]}\n");
  d.settle();
  d.clock.at += 100ms;
  const std::size_t before = descriptors();
  asked.host->send("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(d.step([&] { return comesUp ? other.accept(again) : descriptors() > before; }));
  d.clock.at += 60ms;  // 160 ms after the first: its hosts remember it for 150
  if (!comesUp) d.pass(10ms);
  REQUIRE(d.until([&] { return asked.client.holds("\r\n\r\n"); }));
  CHECK(statusOf(asked.client) == "HTTP/1.1 429");
  d.settle();
  if (comesUp) CHECK((again->read().empty() && again->over));
  CHECK(descriptors() <= before + comesUp);
}

TEST_CASE("a connection with stray bytes, or whose host has closed it, is not used again") {
  const bool stray = GENERATE(true, false);
  LoopbackGateway d;
  Asked asked(d);
  asked.host->send(LoopbackGateway::ok("one"));
  REQUIRE(d.until([&] { return asked.client.holds("one"); }));
  stray ? asked.host->send(LoopbackGateway::ok("two")) : asked.host->close();
  d.settle();
  asked.client.got.clear();
  asked.client.send(LoopbackGateway::request("look"));
  std::optional<Peer> fresh;
  REQUIRE(d.until([&] { return d.host.accept(fresh); }));
  REQUIRE(d.until([&] { return fresh->holds("\r\n\r\n"); }));
  fresh->send(LoopbackGateway::ok("three"));
  CHECK(d.until([&] { return asked.client.holds("three"); }));
}

TEST_CASE("bytes after an answer spoil the connection, not the answer") {
  LoopbackGateway d;
  Asked asked(d);
  asked.host->send(LoopbackGateway::ok("one") + "HTTP/1.1 200");
  CHECK(d.until([&] { return asked.client.holds("one"); }));
  CHECK(d.until([&] { return asked.host->ended(); }));
}

TEST_CASE("an answer that comes with the end of its connection counts") {
  LoopbackGateway d;
  Asked asked(d);
  asked.host->send("HTTP/1.1 200 OK\r\n\r\nto the end");
  asked.host->close();
  CHECK(d.until([&] { return asked.client.holds("to the end"); }));
}

TEST_CASE("an answer without a length that is reset is no answer, be the reset in the same turn or later") {
  const bool atOnce = GENERATE(true, false);
  LoopbackGateway d;
  Asked asked(d, LoopbackGateway::request("pay", "x"));
  asked.host->send("HTTP/1.1 200 OK\r\n\r\nto the e");
  if (!atOnce) d.settle();
  asked.host->reset();
  REQUIRE(d.until([&] { return asked.client.holds("\r\n\r\n"); }));
  CHECK(statusOf(asked.client) == "HTTP/1.1 502");  // it may have run
  CHECK_FALSE(asked.client.holds("to the e"));
}

TEST_CASE("a client that leaves is no reason to end, nor is its answer sent to another") {
  LoopbackGateway d;
  Asked asked(d);
  asked.client.close();
  d.settle();
  CHECK(d.server.unanswered() == 0);
  asked.host->send(LoopbackGateway::ok("one"));
  d.settle();
  Peer other = d.client();
  other.send("GET /health/ready HTTP/1.1\r\n\r\n");
  REQUIRE(d.until([&] { return other.holds("ready\n"); }));
  CHECK_FALSE(other.holds("one"));
}

TEST_CASE("requests that were sent on ahead are answered one after another") {
  LoopbackGateway d;
  Asked asked(d, LoopbackGateway::request("look") + "GET /health/live HTTP/1.1\r\n\r\n" +
                     LoopbackGateway::request("none"));
  asked.host->send(LoopbackGateway::ok("one"));
  REQUIRE(d.until([&] { return asked.client.holds("Req-Kind is not known"); }));
  const std::string& got = asked.client.got;
  CHECK(got.find("one") < got.find("live\n"));
}

TEST_CASE("what a client sends on ahead does not spoil the attempts that are still to come") {
  PeerListener other;
  LoopbackGateway d(128, "");
  std::optional<Peer> watch, second;
  REQUIRE(d.until([&] { return d.discovery.accept(watch); }));
  watch->send("HTTP/1.1 200 OK\r\n\r\n{\"generation\":42,\"instances\":[" +
              hostLine(other.port, "h2", "in_service") + "]}\n");
  d.settle();
  const std::string message = LoopbackGateway::request("pay", std::string(1'500, 'q'));
  Peer client = d.client();
  client.send(message);
  std::optional<Peer> first;
  REQUIRE(d.until([&] { return d.host.accept(first) || other.accept(first); }));
  REQUIRE(d.until([&] { return first->holds("qqq"); }));
  client.send(std::string(9'000, 'x'));  // the buffer grows and moves
  d.settle();
  first->send("HTTP/1.1 503 x\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(d.until([&] { return d.host.accept(second) || other.accept(second); }));
  REQUIRE(d.until([&] { return second->holds("qqq"); }));
  CHECK_THAT(second->got, Catch::EndsWith("\r\n\r\n" + std::string(1'500, 'q')));
}

TEST_CASE(
    "a client that asks and asks but does not read gets all its answers, whole and in order, once it does") {
  LoopbackGateway d(1024);
  const int requests = 150;
  std::string ahead;
  for (int n = 0; n < requests; ++n) ahead += LoopbackGateway::request("look");
  Asked asked(d, LoopbackGateway::request("look"));
  const auto bodyOf = [](int n) { return std::string(60'000, static_cast<char>('a' + n % 26)); };
  std::size_t sent = 0;
  int answered = 0;
  std::vector<Peer> hosts;
  hosts.push_back(std::move(*asked.host));
  const auto serve = [&] {  // the host answers each, and the client sends on as it can
    if (sent < ahead.size()) sent += asked.client.trySend(std::string_view(ahead).substr(sent));
    for (std::optional<Peer> more; d.host.accept(more);) hosts.push_back(std::move(*more));
    for (Peer& host : hosts) {
      if (!host.holds("\r\n\r\n")) continue;
      host.got.clear();
      host.send(LoopbackGateway::ok(bodyOf(answered++)));
    }
  };
  d.until([&, idle = 0, last = 0]() mutable {
    serve();
    idle = std::exchange(last, answered) == answered ? idle + 1 : 0;
    return idle > 500;
  });
  CHECK(answered < requests);  // its answers wait in the gateway, which asks no more for it
  std::string wanted;
  REQUIRE(d.until([&] {
    serve();
    asked.client.read();
    return answered == requests + 1 && asked.client.got.ends_with(bodyOf(requests));
  }));
  for (int n = 0; n <= requests; ++n) wanted += LoopbackGateway::ok(bodyOf(n));
  CHECK((asked.client.got == wanted));
}

TEST_CASE("bad framing gets its status and a close, and others are served on") {
  const auto [bytes, status] = GENERATE(table<std::string, std::string>({
      {"GET / HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", "400"},
      {"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nq\r\n", "400"},
      {"POST / HTTP/1.1\r\nContent-Length: 65537\r\n\r\n", "413"},
      {"GET / HTTP/1.1\r\nN: " + std::string(17'000, 'x'), "431"},
      {"\x16\x03\x01\r\n\r\n", "400"},
  }));
  LoopbackGateway d;
  Peer client = d.client();
  client.send(bytes);
  CHECK(d.until([&] { return client.ended(); }));
  CHECK(statusOf(client) == "HTTP/1.1 " + status);
  client.close();
  Asked asked(d);
  asked.host->send(LoopbackGateway::ok("one"));
  CHECK(d.until([&] { return asked.client.holds("one"); }));
}

TEST_CASE("half a request, or a client that rests for ever, is not waited for") {
  LoopbackGateway d;
  Peer half = d.client(), resting = d.client();
  half.send("GET / HTTP/1.1\r\nN");
  d.settle();
  d.pass(3s);
  CHECK(d.until([&] { return half.ended(); }));
  CHECK_FALSE(resting.ended());
  d.pass(30s);
  CHECK(d.until([&] { return resting.ended(); }));
}

TEST_CASE("out of descriptors, who rests longest makes room, else accepting pauses") {
  LoopbackGateway d(32 + 2 * 2);  // two clients, two connections to hosts
  Peer a = d.client(), b = d.client();
  a.send("GET /health/live HTTP/1.1\r\n\r\n");
  REQUIRE(d.until([&] { return a.holds("live"); }));
  a.send(LoopbackGateway::request("look"));
  b.send(LoopbackGateway::request("look"));
  std::optional<Peer> one, two;
  REQUIRE(d.until([&] { return d.host.accept(one); }));
  REQUIRE(d.until([&] { return d.host.accept(two); }));
  Peer c = d.client();
  c.send("GET /health/live HTTP/1.1\r\n\r\n");
  d.settle();
  CHECK(c.read().empty());
  REQUIRE(d.until([&] { return one->holds("\r\n\r\n"); }));
  one->send(LoopbackGateway::ok("one")), two->send(LoopbackGateway::ok("two"));
  d.settle();
  Peer& left = a.holds("one") ? a : b;
  left.close();
  CHECK(d.until([&] { return c.holds("live"); }));
  Peer* const stay[] = {&left == &a ? &b : &a, &c};
  Peer e = d.client();
  e.send("GET /health/live HTTP/1.1\r\n\r\n");
  const bool closes = GENERATE(true, false);
  REQUIRE(d.until([&] { return stay[0]->ended() || stay[1]->ended(); }));  // in good order
  CHECK_FALSE((a.wasReset || b.wasReset || c.wasReset));
  if (closes)
    for (Peer* rested : stay)
      if (rested->over) rested->close();
  if (!closes) d.pass(260ms);  // an eighth of the longest deadline
  CHECK(d.until([&] { return e.holds("live"); }));
}

TEST_CASE("who comes while all places are taken by requests gets one once they rest, though nobody leaves") {
  LoopbackGateway d(32 + 2 * 2);
  Asked a(d), b(d);
  Peer c = d.client();
  c.send("GET /health/live HTTP/1.1\r\n\r\n");
  d.settle();
  CHECK(c.read().empty());
  a.host->send(LoopbackGateway::ok("one")), b.host->send(LoopbackGateway::ok("two"));
  d.settle();
  d.pass(260ms);  // an eighth of the longest deadline: so long the one that is parted with may take to close
  CHECK(d.until([&] { return c.holds("live"); }));
  CHECK((a.client.ended() || b.client.ended()));
  CHECK_FALSE((a.client.wasReset || b.client.wasReset));
  CHECK(a.client.holds("one"));
  CHECK(b.client.holds("two"));
}

TEST_CASE("the counter's calls share a connection, one that is stuck is replaced") {
  LoopbackGateway d;
  Peer client = d.client();
  client.send(LoopbackGateway::metered(1));
  std::optional<Peer> first, second;
  REQUIRE(d.until([&] { return d.counter.accept(first); }));
  REQUIRE(d.until([&] { return first->holds("POST /tally/u1."); }));
  CHECK_THAT(first->got, Catch::Contains("?n=0&keep_ms=30000") || Catch::Contains("?n=1&keep_ms=30000"));
  for (int n = 2; n < 6; ++n) {
    Peer other = d.client();
    other.send(LoopbackGateway::metered(n));
    d.settle();
  }
  CHECK_FALSE(first->ended());
  d.pass(1s);  // nothing comes
  CHECK(d.until([&] { return first->ended(); }));
  std::optional<Peer> third;
  REQUIRE(d.until([&] { return d.counter.accept(second) || (second && d.counter.accept(third)); }));
}

TEST_CASE("a counter that cannot be reached has added nothing, and is tried again") {
  LoopbackGateway d;
  d.counter.close();
  std::string message = LoopbackGateway::request("look");
  message.replace(message.find("Plan: free"), 10, "Plan: metered");
  for (int n = 0; n < 5; ++n) {
    Peer client = d.client();
    client.send(message);
    d.settle();
    d.pass(1s);
  }
  CHECK_THAT(d.lines.str(), Catch::Contains("info: counter_unreachable: "));
}

TEST_CASE(
    "a counter that ends as a call is on its way, or about to be written, is told of those units again") {
  const int end =
      GENERATE(0, 1, 2, 3);  // after the call; resets after it; in its turn, before or behind the request
  LoopbackGateway d;
  std::optional<Peer> count, again, host;
  Peer client = d.client();
  client.send(LoopbackGateway::metered(1));
  REQUIRE(d.until([&] { return d.counter.accept(count); }));
  REQUIRE(d.until([&] { return count->holds("POST /tally/u1."); }));
  REQUIRE(d.until([&] { return d.host.accept(host); }));
  REQUIRE(d.until([&] { return host->holds("\r\n\r\n"); }));
  host->send(LoopbackGateway::ok("one"));
  REQUIRE(d.until([&] { return client.holds("one"); }));
  if (end == 0) count->close();
  if (end == 1) count->reset();
  if (end > 1) {
    count->send(LoopbackGateway::ok("1"));
    d.settle();
    d.pass(200ms);
    client.got.clear();
    if (end == 2) count->close();
    client.send(LoopbackGateway::metered(1));
    if (end == 3) count->close();
    REQUIRE(d.until([&] { return host->read(), d.host.accept(host) || host->got.rfind("GET ") > 0; }));
    host->send(LoopbackGateway::ok("two"));
    REQUIRE(d.until([&] { return client.holds("two"); }));
  }
  for (int n = 0; n < 40 && !(d.counter.accept(again) && again); ++n) d.pass(20ms), d.settle();
  REQUIRE(again);
  REQUIRE(d.until([&] { return again->holds("POST /tally/u1."); }));
  const std::string units = again->got.substr(again->got.find("?n=") + 3);
  CHECK(std::stod(units) >= 1);  // may have been added twice, never not at all
}

TEST_CASE("what waits to be written is not taken for what has come") {
  LoopbackGateway d;
  PeerListener remote;
  auto& answering = d.loop.open<Answering>();
  answering.connect(net::parseAddress(remote.address()));
  std::optional<Peer> peer;
  REQUIRE(d.until([&] { return remote.accept(peer); }));
  peer->send(
      "one"
      "two"
      "th");
  REQUIRE(d.until([&] { return peer->holds("yesyes"); }));
  peer->send("r");
  REQUIRE(d.until([&] { return peer->holds("yesyesyes"); }));
  CHECK(answering.taken == "onetwothr");
}

TEST_CASE("a watch that falls silent is opened again from the last list that was told") {
  LoopbackGateway d;
  std::optional<Peer> watch, again;
  REQUIRE(d.until([&] { return d.discovery.accept(watch); }));
  REQUIRE(d.until([&] { return watch->holds("watch=1&from=41 "); }));
  const std::string lines = "\n{\"generation\":43,\"reset\":false,\"instances\":[" +
                            hostLine(d.host.port, "h1", "terminating") + "]}\n";
  const std::size_t half = lines.size() / 2;
  watch->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (const std::string& part : {lines.substr(0, half), lines.substr(half)}) {
    std::ostringstream chunk;
    chunk << std::hex << part.size() << "\r\n" << part << "\r\n";
    watch->send(chunk.str());
    d.settle();
  }
  Peer client = d.client();
  client.send(LoopbackGateway::request("look"));
  REQUIRE(d.until([&] { return client.holds("HTTP/1.1 429"); }));  // it was the only host
  d.pass(1900ms);
  watch->send("1\r\n\n\r\n");  // the beat
  d.settle();
  d.pass(1900ms);
  CHECK_FALSE(watch->ended());
  d.pass(1s);
  REQUIRE(d.until([&] { return d.discovery.accept(again); }));
  CHECK(d.until([&] { return again->holds("watch=1&from=43 "); }));
  CHECK_THAT(d.lines.str(), Catch::Contains("warning: discovery_unreachable: discovery unreachable, keeping "
                                            "the last endpoint list generation=43"));
}

TEST_CASE("discovery that sends what cannot be read is asked again") {
  const std::string bytes =
      GENERATE(as<std::string>(), "HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", "nonsense\r\n\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n{\"a\"}\r\n",
               "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
  LoopbackGateway d;
  std::optional<Peer> watch, again;
  REQUIRE(d.until([&] { return d.discovery.accept(watch); }));
  watch->send(bytes);
  CHECK(d.until([&] { return watch->ended(); }));
  d.pass(300ms);
  CHECK(d.until([&] { return d.discovery.accept(again); }));
}

TEST_CASE("where watches are rejected, whole lists are asked for, ever more seldom, then a watch again") {
  LoopbackGateway d;
  std::vector<std::string> asked;
  int waits = 0;
  const auto turnAway = [&] {
    std::optional<Peer> remote;
    for (; !remote && waits < 6000; ++waits) {
      d.pass(10ms);
      d.until([&, turns = 0]() mutable { return d.discovery.accept(remote) || ++turns > 20; });
    }
    REQUIRE(remote);
    REQUIRE(d.until([&] { return remote->holds("\r\n\r\n"); }));
    asked.push_back(remote->got.substr(0, remote->got.find(" HTTP")));
    return remote;
  };
  for (int n = 0; n < 9; ++n) {
    auto remote = turnAway();
    remote->send("HTTP/1.1 503 x\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    REQUIRE(d.until([&] { return remote->ended(); }));
  }
  CHECK(asked[0] == "GET /registry/instances?watch=1&from=41");
  CHECK(asked[1] == "GET /registry/instances");
  CHECK(asked[4] == asked[0]);
  CHECK(waits > 600);  // at the connect timeout each time it would be some 200
  auto remote = turnAway();
  const std::string list =
      "{\"generation\":50,\"reset\":true,\"instances\":[" + hostLine(d.host.port, "h1", "terminating") + "]}";
  remote->send(LoopbackGateway::ok(list));
  d.settle();
  Peer client = d.client();
  client.send(LoopbackGateway::request("look"));
  CHECK(d.until([&] { return client.holds("HTTP/1.1 429"); }));  // it was the only host
}

TEST_CASE("a list indented over many lines is taken, in whatever chunks it comes") {
  const std::size_t size = GENERATE(1, 2, 7, 64, 4096);
  LoopbackGateway d;
  std::optional<Peer> watch, again;
  REQUIRE(d.until([&] { return d.discovery.accept(watch); }));
  watch->send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  std::string list = "\n{\n  \"generation\": 43,\n  \"unknown\": {\"a\": [1]},\n  \"instances\": [\n    " +
                     hostLine(d.host.port, "h1", "terminating") + "\n  ]\n}\n\n";
  for (std::size_t at = 0; at < list.size(); at += size) {
    const std::string part = list.substr(at, size);
    std::ostringstream chunk;
    chunk << std::hex << part.size() << "\r\n" << part << "\r\n";
    watch->send(chunk.str());
    d.loop.io.poll();
    d.loop.io.restart();
  }
  d.settle();
  Peer client = d.client();
  client.send(LoopbackGateway::request("look"));
  CHECK(d.until([&] { return client.holds("HTTP/1.1 429"); }));  // it was the only host
  CHECK_FALSE(watch->ended());
}

TEST_CASE("a list that is begun and never ended is given up, though beats come all the while") {
  LoopbackGateway d;
  std::optional<Peer> watch, again;
  REQUIRE(d.until([&] { return d.discovery.accept(watch); }));
  watch->send("HTTP/1.1 200 OK\r\n\r\n\n{\"generation\":43,\"instances\":[");
  for (int n = 0; n < 4; ++n) {
    d.settle();
    d.pass(800ms);
    watch->send("\n");
  }
  CHECK(d.until([&] { return watch->ended(); }));
  d.pass(1s);
  REQUIRE(d.until([&] { return d.discovery.accept(again); }));
  CHECK(d.until([&] { return again->holds("watch=1&from=41 "); }));
}

TEST_CASE("a whole list may be longer than any request's body") {
  LoopbackGateway d;
  std::optional<Peer> remote;
  REQUIRE(d.until([&] { return d.discovery.accept(remote); }));
  remote->send("HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n");
  d.settle();
  std::optional<Peer> asked;
  d.pass(500ms);
  REQUIRE(d.until([&] { return d.discovery.accept(asked); }));
  REQUIRE(d.until([&] { return asked->holds("GET /registry/instances HTTP"); }));
  std::string list =
      "{\"generation\":50,\"reset\":true,\"instances\":[" + hostLine(d.host.port, "h1", "terminating");
  for (int n = 0; n < 1024; ++n) list += ",\n" + hostLine(1, "other" + std::to_string(n), "terminating");
  const std::string answer = LoopbackGateway::ok(list + "]}");
  for (std::size_t at = 0; at < answer.size(); at += 32'768) {
    asked->send(std::string_view(answer).substr(at, 32'768));
    d.settle();
  }
  Peer client = d.client();
  client.send(LoopbackGateway::request("look"));
  CHECK(d.until([&] { return client.holds("HTTP/1.1 429"); }));  // it was the only host
}

TEST_CASE("moved to another counter, calls on their way end where they were made") {
  LoopbackGateway d;
  PeerListener moved;
  Peer client = d.client();
  client.send(LoopbackGateway::metered(1));
  std::optional<Peer> old, fresh, host;
  REQUIRE(d.until([&] { return d.counter.accept(old); }));
  REQUIRE(d.until([&] { return old->holds("POST /tally/u1."); }));
  d.server.moveTo(d.discovery.address(), moved.address());
  d.loop.endTurn();
  d.settle();
  CHECK_FALSE(old->ended());
  old->send(LoopbackGateway::ok("4"));
  CHECK(d.until([&] { return old->ended(); }));
  d.pass(1s);
  Peer other = d.client();
  other.send(LoopbackGateway::metered(2));
  REQUIRE(d.until([&] { return moved.accept(fresh); }));
  CHECK(d.until([&] { return fresh->holds("POST /tally/u2."); }));
  CHECK_THROWS_AS(d.server.moveTo(moved.address(), "nowhere"), std::invalid_argument);
  CHECK_THROWS_AS(d.server.moveTo("nowhere", d.counter.address()), std::invalid_argument);
  CHECK_FALSE(fresh->ended());
}

TEST_CASE("moved while nothing answers, nothing is waited for at the old addresses") {
  LoopbackGateway d;
  PeerListener discovery, counter;
  Peer client = d.client();
  client.send(LoopbackGateway::metered(1));
  std::optional<Peer> watch, old, fresh;
  REQUIRE(d.until([&] { return d.counter.accept(old); }));
  REQUIRE(d.until([&] { return d.discovery.accept(watch); }));
  d.discovery.close();
  watch->close();
  d.settle();
  d.server.moveTo(discovery.address(), counter.address());
  d.server.moveTo(discovery.address(), counter.address());
  d.loop.endTurn();
  REQUIRE(d.until([&] { return discovery.accept(fresh); }));
  std::optional<Peer> second;
  d.settle();
  CHECK_FALSE(discovery.accept(second));
  d.pass(1100ms);
  CHECK(d.until([&] { return old->ended(); }));
}

TEST_CASE("told to end, it answers what comes, closes between requests and keeps what it has taken") {
  LoopbackGateway d;
  Peer resting = d.client();
  Asked asked(d);
  Peer fresh = d.client();
  d.server.leave(TimePoint::max());
  fresh.send("GET /health/ready HTTP/1.1\r\n\r\n");
  REQUIRE(d.until([&] { return fresh.ended(); }));
  CHECK_THAT(fresh.got, Catch::StartsWith("HTTP/1.1 503") && Catch::Contains("Connection: close"));
  CHECK_FALSE(resting.ended());
  d.server.closeIdle();
  CHECK(d.until([&] { return resting.ended(); }));
  CHECK_FALSE(d.server.quiet());
  asked.host->send(LoopbackGateway::ok("one"));
  CHECK(d.until([&] { return asked.client.ended(); }));
  CHECK(asked.client.holds("one"));
  CHECK(d.server.quiet());
}

TEST_CASE("a request that crosses the end of a rest is neither sent on nor met by a reset") {
  const int end = GENERATE(0, 1, 2);  // told to end, rested too long, its place is wanted
  LoopbackGateway d(32 + 2 * 2);
  Asked asked(d);
  asked.host->send(LoopbackGateway::ok("one"));
  REQUIRE(d.until([&] { return asked.client.holds("one"); }));
  asked.client.got.clear();
  asked.host->got.clear();
  d.pass(30ms);
  std::vector<Peer> others;
  for (int n = 0; end == 2 && n < 2; ++n) others.push_back(d.client());
  d.settle();
  if (end == 0) d.server.leave(TimePoint::max()), d.server.closeIdle();
  if (end == 1) d.pass(29'980ms);
  if (end == 2) REQUIRE(d.until([&] { return asked.client.ended(); }));
  asked.client.send(LoopbackGateway::request("look"));  // before it has seen the end
  d.settle();
  CHECK(asked.client.ended());
  CHECK_FALSE(asked.client.wasReset);
  CHECK_FALSE(asked.client.resetCame());
  CHECK(asked.client.got.empty());
  std::optional<Peer> host;
  CHECK_FALSE(d.host.accept(host));
  CHECK(asked.host->read().empty());
}

TEST_CASE("told to end, a request that was read behind another is answered before the end, not dropped") {
  const bool inOne = GENERATE(true, false);  // read already, or still with the system
  LoopbackGateway d;
  Asked asked(d, LoopbackGateway::request("look") + (inOne ? LoopbackGateway::request("look") : ""));
  d.server.leave(d.clock.at + 3s);
  d.server.closeIdle();
  asked.host->send(LoopbackGateway::ok("one"));
  if (!inOne) asked.client.send(LoopbackGateway::request("look"));
  std::optional<Peer> host;
  REQUIRE(d.until([&] { return d.host.accept(host); }));
  REQUIRE(d.until([&] { return host->holds("\r\n\r\n"); }));
  host->send(LoopbackGateway::ok("two"));
  REQUIRE(d.until([&] { return asked.client.ended(); }));
  CHECK_THAT(asked.client.got, Catch::Contains("one") && Catch::EndsWith("two"));
  CHECK(asked.client.got.find("Connection: close") > asked.client.got.find("one"));
  CHECK_FALSE(asked.client.wasReset);
}

TEST_CASE("told to end, the last look at the door takes who has come to it, and then there is none") {
  LoopbackGateway d;
  d.server.leave(d.clock.at + 3s);
  Peer late = d.client();
  CHECK_FALSE(d.server.shut());
  late.send(LoopbackGateway::request("look"));
  std::optional<Peer> host;
  REQUIRE(d.until([&] { return d.host.accept(host); }));
  CHECK_FALSE(d.server.quiet());
  host->send(LoopbackGateway::ok("one"));
  REQUIRE(d.until([&] { return late.ended(); }));
  CHECK(late.holds("one"));
  CHECK(d.server.shut());
  Peer refused = d.client();
  refused.send("GET /health/live HTTP/1.1\r\n\r\n");
  d.settle();
  CHECK(refused.read().empty());
}

TEST_CASE("at the very end, what has come and nobody reads any more resets nobody") {
  std::optional<LoopbackGateway> d(std::in_place);
  Asked asked(*d);
  asked.host->send(LoopbackGateway::ok("one"));
  d->settle();
  asked.client.send(LoopbackGateway::request("look"));  // with the system, and never read
  d->server.discard();
  d.reset();  // as the exit does
  CHECK(asked.client.ended());
  CHECK_FALSE(asked.client.wasReset);
  CHECK(asked.client.holds("one"));
}

TEST_CASE(
    "a client that sends much on ahead and goes is seen to have gone, and nothing more is sent on for it") {
  const bool resets = GENERATE(true, false);
  LoopbackGateway d(1024);
  Asked asked(d);
  std::string ahead;
  while (ahead.size() < 400'000) ahead += LoopbackGateway::request("look");
  for (std::size_t sent = 0; sent < ahead.size();) {
    const std::size_t n = asked.client.trySend(std::string_view(ahead).substr(sent));
    if (n == 0) break;
    sent += n;
  }
  d.settle();
  const std::size_t before = descriptors();
  resets ? asked.client.reset() : asked.client.close();
  d.pass(110ms);  // a third of the time in which it has to be heeded
  d.settle();
  CHECK(descriptors() < before - 1);  // the gateway's end has gone, too
  CHECK(d.server.unanswered() == 0);
  asked.host->send(LoopbackGateway::ok("one"));
  d.settle();
  std::optional<Peer> host;
  CHECK_FALSE(d.host.accept(host));
}

TEST_CASE("a request that is first read together with its client's end is not sent on") {
  const bool half = GENERATE(true, false);  // the end of its sending is all that there is to see of a close
  LoopbackGateway d;
  d.settle();
  std::vector<Peer> clients;
  for (int n = 0; n < 20; ++n) {
    clients.push_back(d.client());
    clients.back().send(
        LoopbackGateway::request(n % 2 ? "look" : "pay", n % 2 ? "" : std::string(30'000, 'x')));
    half ? clients.back().shutdownSend() : clients.back().close();
  }
  d.settle();
  std::optional<Peer> host;
  CHECK_FALSE(d.host.accept(host));
  CHECK(d.server.unanswered() == 0);
}

TEST_CASE("a request that comes in the turn in which its connection has rested too long is served") {
  LoopbackGateway d;
  Asked asked(d);
  asked.host->send(LoopbackGateway::ok("one"));
  REQUIRE(d.until([&] { return asked.client.holds("one"); }));
  asked.client.got.clear();
  d.pass(29'990ms);
  asked.client.send(LoopbackGateway::request("look"));  // with the system, and not read yet
  d.clock.at += 10ms;
  d.loop.endTurn();  // the time-out goes first
  std::optional<Peer> host;
  REQUIRE(d.until([&] { return d.host.accept(host); }));
  REQUIRE(d.until([&] { return host->holds("\r\n\r\n"); }));
  host->send(LoopbackGateway::ok("two"));
  CHECK(d.until([&] { return asked.client.holds("two"); }));
  CHECK_FALSE(asked.client.ended());
}

TEST_CASE("a request that is there when its rest is ended, or its place wanted, is served") {
  const bool wanted = GENERATE(true, false);
  LoopbackGateway d(32 + 2 * 2);
  Peer a = d.client(), b = d.client();
  for (Peer* client : {&a, &b}) {
    client->send("GET /health/live HTTP/1.1\r\n\r\n");
    REQUIRE(d.until([&] { return client->holds("live"); }));
    client->got.clear();
  }
  std::optional<Peer> c;
  if (wanted) c.emplace(d.client());  // with the system, like the two requests
  a.send(LoopbackGateway::request("look")), b.send(LoopbackGateway::request("look"));
  if (!wanted) {
    d.server.leave(d.clock.at + 3s);
    d.server.closeIdle();
  }
  std::vector<Peer> hosts;
  REQUIRE(d.until([&] {
    std::optional<Peer> host;
    if (d.host.accept(host)) hosts.push_back(std::move(*host));
    return hosts.size() == 2;
  }));
  for (Peer& host : hosts) {
    REQUIRE(d.until([&] { return host.holds("\r\n\r\n"); }));
    host.send(LoopbackGateway::ok("one"));
  }
  CHECK(d.until([&] { return a.holds("one") && b.holds("one"); }));
  CHECK_FALSE((a.wasReset || b.wasReset));
}

TEST_CASE("half a request is answered 408 once its time is over, and closed in good order") {
  const std::string bytes = GENERATE(as<std::string>(), "GET", "GET / HTTP/1.1\r\nN",
                                     "POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
  LoopbackGateway d;
  Peer half = d.client();
  half.send(bytes);
  d.settle();
  d.pass(2100ms);
  CHECK(d.until([&] { return half.ended(); }));
  CHECK(statusOf(half) == "HTTP/1.1 408");
  CHECK_FALSE(half.wasReset);
}

TEST_CASE("half requests that fill all places give way to who waits, the oldest first") {
  LoopbackGateway d(32 + 2 * 4);  // four clients
  std::vector<Peer> halves;
  for (int n = 0; n < 4; ++n) {
    halves.push_back(d.client());
    halves.back().send("GET / HTTP/1.1\r\nN");
  }
  d.settle();
  d.pass(900ms);
  Peer waits = d.client();
  waits.send("GET / HTTP/1.1\r\nN");
  Peer usual = d.client();
  usual.send("GET /health/live HTTP/1.1\r\n\r\n");
  d.settle();
  CHECK_FALSE(halves[0].ended());  // it may still come whole
  d.pass(600ms);
  CHECK(d.until([&] { return halves[0].ended(); }));
  CHECK(statusOf(halves[0]) == "HTTP/1.1 408");
  for (Peer& half : halves) half.close();
  CHECK(d.until([&] { return usual.holds("live"); }));
  d.pass(2100ms);  // 2.6 s since it connected
  CHECK(d.until([&] { return waits.ended(); }));
  CHECK(statusOf(waits) == "HTTP/1.1 408");
}

TEST_CASE("told to end, it answers all before it may be killed, though a host hangs and time is left") {
  LoopbackGateway d;
  Asked before(d, LoopbackGateway::request("pay", "x", "", 5000));
  d.server.leave(d.clock.at + 2s);
  Peer after = d.client();
  after.send(LoopbackGateway::request("pay", "x", "", 5000));
  std::optional<Peer> host;
  REQUIRE(d.until([&] { return d.host.accept(host); }));
  REQUIRE(d.until([&] { return host->holds("\r\n\r\nx"); }));
  d.pass(1900ms);
  CHECK_FALSE(d.server.quiet());
  d.pass(100ms);
  CHECK(d.until([&] { return before.client.ended() && after.ended(); }));
  CHECK(statusOf(before.client) == "HTTP/1.1 502");
  CHECK(statusOf(after) == "HTTP/1.1 502");
  CHECK(d.server.quiet());
}

TEST_CASE("told to end, what has come and was not read yet is taken, on old connections and new ones") {
  LoopbackGateway d;
  Peer old = d.client();
  old.send("GET /health/live HTTP/1.1\r\n\r\n");
  REQUIRE(d.until([&] { return old.holds("live"); }));
  old.got.clear();
  Peer silent = d.client();
  d.settle();
  d.server.leave(TimePoint::max());
  Peer fresh = d.client();
  old.send(LoopbackGateway::request("look"));
  fresh.send(LoopbackGateway::request("look"));
  d.server.closeIdle();
  for (int n = 0; n < 2; ++n) {
    std::optional<Peer> host;
    REQUIRE(d.until([&] { return d.host.accept(host); }));
    REQUIRE(d.until([&] { return host->holds("\r\n\r\n"); }));
    host->send(LoopbackGateway::ok("one"));
  }
  CHECK(d.until([&] { return old.ended() && fresh.ended() && silent.ended(); }));
  CHECK(old.holds("one"));
  CHECK(fresh.holds("one"));
  CHECK(d.server.quiet());
}

TEST_CASE("discovery that is silent is asked again before what it may have told has to be heeded") {
  LoopbackGateway d;
  std::optional<Peer> watch;
  REQUIRE(d.until([&] { return d.discovery.accept(watch); }));
  watch->send("HTTP/1.1 200 OK\r\n\r\n\n");
  d.settle();
  for (int n = 0; n < 6; ++n) {  // each is held for more than a beat, and then at once another comes
    d.pass(2300ms);
    REQUIRE(d.until([&] { return watch->ended(); }));
    watch.reset();
    d.pass(250ms);
    REQUIRE(d.until([&] { return d.discovery.accept(watch); }));
    REQUIRE(d.until([&] { return watch->holds("watch=1&from=41 "); }));
  }
}

TEST_CASE("settings that leave no time for drains make nobody ask discovery without a pause") {
  LoopbackGateway d(128, "", "\"rules\":{", "\"rules\":{\"drainGrace\":0,");
  std::size_t asks = 0;
  for (int n = 0; n < 20; ++n) {
    d.settle();
    for (std::optional<Peer> watch; d.discovery.accept(watch); ++asks) watch->close();
  }
  CHECK(asks == 1);  // by a clock that stands still
  d.pass(300ms);
  d.settle();
  std::optional<Peer> watch;
  CHECK(d.discovery.accept(watch));
}

TEST_CASE("settings that name no time for dials, or none at all, have the operators' own") {
  const std::string is = GENERATE(as<std::string>(), "", "\"connectTimeout\":0,", "\"connectTimeout\":-5,");
  LoopbackGateway d;
  const config::GatewayConfig config = config::readGatewayConfig(
      LoopbackGateway::replaced(LoopbackGateway::replaced(d.config(""), "\"connectTimeout\":250000,", is),
                                "\"countLimit\":50000,", ""));
  CHECK(config.settings.connectTimeout == 250ms);
  CHECK(config.settings.counterTimeout == 250ms);
  CHECK(config.drainGrace == 250ms);
}

TEST_CASE("a watch that falls silent anywhere is opened anew, with its list asked for again from the start") {
  const std::string list = "{\"generation\":43,\"instances\":[" + hostLine(1, "h9", "in_service") + "]}\n";
  const std::string chunk = "20\r\n" + list.substr(0, 32);
  const std::string bytes =
      GENERATE_COPY(as<std::string>(), "", "HTTP/1.1 2", "HTTP/1.1 200 OK\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2",
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk.substr(0, 20),
                    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "\r\n",
                    "HTTP/1.1 200 OK\r\n\r\n" + list.substr(0, 60));
  const bool reset = GENERATE(true, false);
  LoopbackGateway d;
  std::optional<Peer> watch, again;
  REQUIRE(d.until([&] { return d.discovery.accept(watch); }));
  REQUIRE(d.until([&] { return watch->holds("from=41 "); }));
  if (!bytes.empty()) watch->send(bytes);
  d.settle();
  if (reset) watch->reset();
  if (!reset) {
    d.pass(2300ms);
    REQUIRE(d.until([&] { return watch->ended(); }));
  }
  d.pass(200ms);  // in all well under the 6 s after which what was missed counts as told
  REQUIRE(d.until([&] { return d.discovery.accept(again); }));
  REQUIRE(d.until([&] { return again->holds("from=41 "); }));
  again->send("HTTP/1.1 200 OK\r\n\r\n" + list);
  d.settle();
  d.server.moveTo(d.discovery.address(), d.counter.address());  // told the same place: nothing moves
  d.settle();
  CHECK_FALSE(again->ended());
  again->reset();
  d.pass(400ms);
  std::optional<Peer> third;
  REQUIRE(d.until([&] { return d.discovery.accept(third); }));
  CHECK(d.until([&] { return third->holds("from=43 "); }));
}

TEST_CASE(
    "moved in the middle of a list, or while it waits to ask again, the new place tells from the last one") {
  const int when = GENERATE(0, 1, 2);
  LoopbackGateway d;
  PeerListener moved;
  std::optional<Peer> watch, again;
  REQUIRE(d.until([&] { return d.discovery.accept(watch); }));
  if (when == 0) watch->send("HTTP/1.1 200 OK\r\n\r\n{\"generation\":44,\"instances\":[");
  if (when == 1) watch->close();
  d.settle();
  if (when == 2)
    watch->send("HTTP/1.1 200 OK\r\n\r\n{\"generation\":44,\"instances\":[]}\n");  // in this very turn
  d.server.moveTo(moved.address(), d.counter.address());
  d.loop.endTurn();
  REQUIRE(d.until([&] { return moved.accept(again); }));
  CHECK(d.until([&] { return again->holds("watch=1&from=41 "); }));
  d.pass(1s);
  d.settle();
  std::optional<Peer> old;
  CHECK_FALSE(d.discovery.accept(old));
}

TEST_CASE("what is no number, and settings without plans, do no harm") {
  LoopbackGateway d;
  Peer client = d.client();
  for (const char* total : {"nan", "inf", "-inf", "1e999", "x", ""}) {
    client.got.clear();
    client.send(LoopbackGateway::metered(1));
    std::optional<Peer> host, count;
    REQUIRE(d.until([&] { return d.counter.accept(count) || d.host.accept(host) || client.holds("429"); }));
    d.settle();
    if (!count) d.counter.accept(count);
    if (!host) d.host.accept(host);
    if (count) count->send(LoopbackGateway::ok(total));
    if (host)
      host->send(LoopbackGateway::ok("one", "Billed-Units: inf\r\nSrv-Load: inflight=nan,qps=inf\r\n"));
    d.settle();
    d.pass(1s);
  }
  client.got.clear();
  client.send(LoopbackGateway::metered(2));
  std::optional<Peer> host;
  REQUIRE(d.until([&] { return d.host.accept(host) || client.holds("HTTP/1.1"); }));

  std::string bare = d.config("");
  const auto from = bare.find("\"tariffs\""), to = bare.find("\"familyInfo\"");
  bare.erase(from, to - from);
  const config::GatewayConfig config = config::readGatewayConfig(bare);
  CHECK(config.settings.plans.size() == 1);
  bare.replace(bare.find("\"startedAtMs\":0"), 15, "\"startedAtMs\":9000000000000000");
  CHECK(config::readGatewayConfig(bare).known.entries.at(0).started == 0s);
}

TEST_CASE("a bad file of configuration is named with its field") {
  LoopbackGateway d;
  const std::string good = d.config("");
  CHECK(config::readGatewayConfig(good).sockets == 128);
  const auto [was, is, named] = GENERATE(table<std::string, std::string, std::string>({
      {"{\"name\"", "\"name\"", "not a JSON object"},
      {"\"seed\":\"8c1f\"", "\"seed\":\"8c1x\"", "'seed' is not a hex number"},
      {"\"listen\"", "\"heard\"", "'listen' is missing"},
      {"\"settings\"", "\"set\"", "'settings' is missing"},
      {"\"rules\"", "\"ruled\"", "'rules' is missing"},
      {"\"promise\":600000", "\"promise\":\"x\"", "'promise' is not a number"},
      {"\"lifecycle\"", "\"life\"", "'lifecycle' is missing"},
  }));
  std::string bad = good;
  bad.replace(bad.find(was), was.size(), is);
  CHECK_THROWS_WITH(config::readGatewayConfig(bad), Catch::Contains(named));
  CHECK_THROWS_AS(net::parseAddress("localhost:80"), std::invalid_argument);
  CHECK_THROWS_AS(net::parseAddress("127.0.0.1:x"), std::invalid_argument);
  CHECK_THROWS_AS(net::parseAddress("127.0.0.1"), std::invalid_argument);
}
