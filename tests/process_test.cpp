// The program itself, started, signalled and ended, against remote ends on loopback.
#include "program.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

TEST_CASE("SIGHUP moves discovery and the counter service, and ends neither the process nor a request") {
  Program p;
  p.startReady();
  std::optional<TestPeer> watch, host, moved, count;
  REQUIRE(within([&] { return p.discovery.accept(watch); }));
  REQUIRE(within([&] { return watch->hasReceived("watch=1&from=41 "); }));
  watch->send(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
      "chunked\r\n\r\n24\r\n{\"generation\":45,\n\"instances\":[]}\n\n\n\r\n");
  TestPeer client = p.client();
  client.send(clientRequest("look"));
  REQUIRE(within([&] { return p.host.accept(host); }));
  REQUIRE(within([&] { return host->hasReceived("\r\n\r\n"); }));
  PeerListener discovery, counter;
  p.write(gatewayConfigText("127.0.0.1:" + std::to_string(p.listenPort), discovery.address(),
                            counter.address(), endpointJson(p.host.port, "h1", "in_service"), 128));
  for (int n = 0; n < 5; ++n) p.signal(SIGHUP);
  REQUIRE(within([&] { return discovery.accept(moved); }));
  CHECK(within([&] { return moved->hasReceived("watch=1&from=45 "); }));
  CHECK(within([&] { return watch->isClosedByRemote(); }));
  host->send(okResponse("one"));
  CHECK(within([&] { return client.hasReceived("one"); }));
  client.receivedBytes.clear();
  client.send(meteredRequest(1));
  CHECK(within([&] { return counter.accept(count); }));
  CHECK(within([&] { return count->hasReceived("POST /tally/u1."); }));
  CHECK(p.runs());
}

TEST_CASE(
    "a configuration file that is missing, half written or wrong is rejected, and loaded once complete") {
  Program p;
  p.startReady();
  PeerListener discovery;
  const std::string good =
      gatewayConfigText("127.0.0.1:" + std::to_string(p.listenPort), discovery.address(), p.counter.address(),
                        endpointJson(p.host.port, "h1", "in_service"), 128);
  std::string bad = good;
  switch (GENERATE(0, 1, 2)) {
    case 0:
      bad = good.substr(0, good.size() / 2);
      break;
    case 1:
      bad.replace(bad.find(discovery.address()), discovery.address().size(), "nowhere");
      break;
    case 2:
      bad.replace(bad.find("\"rules\""), 7, "\"ruled\"");
      break;
  }
  p.write(bad);
  for (int n = 0; n < 3; ++n) p.signal(SIGHUP);
  REQUIRE(p.logHolds("warning: config_rejected: configuration rejected, keeping the previous one "));
  std::optional<TestPeer> watch, moved;
  CHECK(p.discovery.accept(watch));
  CHECK_FALSE(watch->isClosedByRemote());
  p.write(good);  // whoever was at it has come to the end
  CHECK(within([&] { return discovery.accept(moved); }));
  CHECK(p.runs());
  const std::string log = p.log();
  CHECK(log.find("config_rejected") == log.rfind("config_rejected"));
}

TEST_CASE("SIGHUP during graceful shutdown does not cut it short") {
  Program p;
  p.startReady();
  std::optional<TestPeer> host;
  TestPeer client = p.client();
  client.send(clientRequest("look", "", "", 1900));
  REQUIRE(within([&] { return p.host.accept(host); }));
  REQUIRE(within([&] { return host->hasReceived("\r\n\r\n"); }));
  p.signal(SIGTERM);
  REQUIRE(p.logHolds("info: draining: "));
  p.signal(SIGHUP);
  REQUIRE(p.logHolds("info: config_reloaded: "));
  REQUIRE(p.logHolds("info: closing_idle_connections: "));
  p.signal(SIGHUP);
  p.signal(SIGTERM);
  host->send(okResponse("one"));
  CHECK(within([&] { return client.hasReceived("one"); }));
  CHECK(p.exitStatus() == 0);
}

TEST_CASE("SIGTERM under steady load: every request accepted in time is answered, and the process exits") {
  Program p;
  p.startReady();
  std::vector<std::pair<TestPeer, int>> clients;  // and how many requests are out on each
  std::vector<TestPeer> hosts;
  const std::string hang = clientRequest("pay", "x", "", 5000);
  TestPeer hanging = p.client();
  hanging.send(hang);
  clients.reserve(8);
  for (int n = 0; n < 8; ++n) clients.emplace_back(p.client(), 0);
  int answered = 0, unanswered = 0;
  const auto serve = [&] {
    std::optional<TestPeer> host;
    while (p.host.accept(host)) hosts.push_back(std::move(*host));
    for (TestPeer& h : hosts) {
      if (!h.hasReceived("\r\n\r\n") || h.receivedBytes.starts_with("POST")) continue;
      h.receivedBytes.clear();
      h.send(okResponse("one"));
    }
    for (auto& [client, out] : clients) {
      if (out > 0 && client.hasReceived("one")) client.receivedBytes.clear(), --out, ++answered;
      if (client.isClosedByRemote() && out > 0) out = 0, ++unanswered;
      if (!client.remoteClosed && out == 0) client.send(clientRequest("look")), ++out;
    }
  };
  REQUIRE(within([&] { return serve(), answered > 100; }));
  p.signal(SIGTERM);
  p.signal(SIGHUP);
  const auto told = std::chrono::steady_clock::now();
  CHECK(within([&] { return serve(), !p.runs(); }));
  CHECK(std::chrono::steady_clock::now() - told < 2700ms);  // longest deadline, and 0.7 s
  CHECK(p.exitStatus() == 0);
  CHECK(unanswered <= 8);  // sent while the connection was being closed: asked again elsewhere
  CHECK(hanging.hasReceived("HTTP/1.1 502"));
}

TEST_CASE(
    "SIGTERM and SIGHUP while the configuration is read: it serves, shuts down gracefully and exits with 0") {
  Program p;
  const std::string path = p.pipe();
  p.start("");
  {
    std::ofstream pipe(path);  // opens once the program is at it
    p.signal(SIGHUP);
    p.signal(SIGTERM);
    p.signal(SIGTERM);
    p.replacePipe();
    pipe << p.config();
  }
  CHECK(p.logHolds("info: draining: "));
  CHECK(p.exitStatus() == 0);
  CHECK(p.log().find("info: ready") < p.log().find("info: draining"));
}

TEST_CASE("SIGTERM ends the process before SIGKILL is due, whatever clients do with their connections") {
  Program p;
  p.startReady();
  std::optional<TestPeer> host;
  TestPeer rests = p.client(), silent = p.client(), half = p.client(), deaf = p.client(), waits = p.client();
  rests.send("GET /health/live HTTP/1.1\r\n\r\n");
  REQUIRE(within([&] { return rests.hasReceived("live"); }));
  half.send("POST /pay HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 10\r\n\r\nhalf");
  const std::string live = "GET /health/live HTTP/1.1\r\n\r\n";
  std::string many;
  for (int n = 0; n < 60'000; ++n) many += live;
  std::size_t sent = 0;
  const auto more = [&] { sent += deaf.trySend(std::string_view(many).substr(sent % live.size())); };
  for (int n = 0; n < 50; ++n) more();  // and reads none of the answers
  waits.send(clientRequest("pay", "x", "", 5000));
  REQUIRE(within([&] { return p.host.accept(host); }));
  REQUIRE(within([&] { return host->hasReceived("\r\n\r\nx"); }));
  p.signal(SIGTERM);
  const auto told = std::chrono::steady_clock::now();
  REQUIRE(p.logHolds("info: closing_idle_connections: "));
  rests.send(clientRequest("look"));  // crosses the end of its rest
  REQUIRE(p.logHolds("info: stopped"));
  CHECK(std::chrono::steady_clock::now() - told < 2700ms);  // the longest deadline, and 0.7 s
  CHECK(p.exitStatus() == 0);
  CHECK(within(
      [&] { return rests.isClosedByRemote() && silent.isClosedByRemote() && waits.isClosedByRemote(); }));
  CHECK_FALSE((rests.wasReset || silent.wasReset || waits.wasReset));
  CHECK(waits.hasReceived("HTTP/1.1 502"));
}

TEST_CASE("a new process takes over the address at once, with hundreds of gateways and hosts known") {
  Program p;
  std::string hosts = endpointJson(p.host.port, "h0", "in_service");
  for (int h = 1; h < 600; ++h)
    hosts += "," + endpointJson(p.host.port, "h" + std::to_string(h), "in_service");
  const std::string text = replaceOnce(p.config(hosts), "\"siblings\":1", "\"siblings\":350");
  std::vector<std::optional<TestPeer>> reached;
  std::size_t paid = 0;
  const auto take = [&] {
    for (std::optional<TestPeer> host; p.host.accept(host); host.reset())
      reached.push_back(std::exchange(host, std::nullopt));
    paid = 0;
    for (auto& host : reached) paid += host->hasReceived("POST /pay");
    return paid;
  };
  p.start(text);
  REQUIRE(p.logHolds("info: ready"));
  TestPeer before = p.client();
  before.send(clientRequest("pay", "x", "", 1500));
  REQUIRE(within([&] { return take() == 1; }));
  p.signal(SIGTERM);
  REQUIRE(p.logHolds("info: closing_idle_connections: "));
  for (auto& host : reached)
    if (host->hasReceived("POST /pay")) host->send(okResponse("one"));
  CHECK(p.exitStatus() == 0);
  REQUIRE(within([&] { return before.isClosedByRemote(); }));
  CHECK_THAT(before.receivedBytes, Catch::StartsWith("HTTP/1.1 200") && Catch::EndsWith("one"));
  const auto began = std::chrono::steady_clock::now();
  p.start(text);  // nobody has waited for the old one's connections to be forgotten
  TestPeer after = p.client();
  REQUIRE(within([&] {
    if (after.isClosedByRemote()) after = p.client();
    after.send("GET /health/ready HTTP/1.1\r\n\r\n");
    return after.hasReceived("HTTP/1.1 200");
  }));
  CHECK(std::chrono::steady_clock::now() - began < 10s);
  after.receivedBytes.clear();
  after.send(clientRequest("pay", "y", "", 1500));
  CHECK(within([&] { return take() == 2; }));  // that of the old life is not sent on again
}

TEST_CASE("check reports each error with its place and starts nothing") {
  Program p;
  const std::string config = p.file("orders.json", p.config());
  const auto checked = [&](const std::string& own) {
    return p.response({"check", "--config", config, "--operator-config", p.file("own.toml", own)});
  };
  auto [text, status] = checked("[log]\nform = \"json\"\n[end]\nstill_coming = \"1s\"\n");
  CHECK(status == 0);
  CHECK(text.find("configuration: valid: 1 hosts known, 3 methods") != std::string::npos);
  std::tie(text, status) = checked("[log]\nlevle = \"info\"\n");
  CHECK(status == 2);
  CHECK(text.find("own.toml:2:1: unknown key 'log.levle'") != std::string::npos);
  std::tie(text, status) = checked("[log]\nlevel = 3\n");
  CHECK(text.find("own.toml:2:9: 'log.level': expected one of debug, info, warning, error, found 3") !=
        std::string::npos);
  CHECK(checked("[end]\nstill_coming = \"9s\"\nmost_life = \"1s\"\n").second == 2);
  CHECK(checked("[end\n").second == 2);
  CHECK(p.response({"check", "--config", p.file("orders.json", "{")}).second == 2);
  CHECK(p.response({"check"}).second == 2);
  CHECK(p.response({"serve"}).second == 2);
  CHECK(p.response({"dance"}).second == 2);
  CHECK(p.response({"--help"}).second == 0);
  CHECK(p.response({"version"}).first.starts_with("merlinbridge "));
}

TEST_CASE("old names of options and keys are read, each with one warning that names both") {
  Program p;
  const std::string config = p.file("orders.json", p.config());
  const auto checked = [&](const std::string& option, const std::string& own) {
    return p.response({"check", option, config, "--operator-config", p.file("own.toml", own)});
  };
  const auto count = [](const std::string& text, const std::string& what) {
    int n = 0;
    for (auto at = text.find(what); at != std::string::npos; at = text.find(what, at + 1)) ++n;
    return n;
  };
  auto [text, status] = checked("--config", "[shutdown]\naccept_for = \"1s\"\n[reload]\nretries = 2\n");
  CHECK(status == 0);
  CHECK(count(text, "warning") == 0);
  std::tie(text, status) = checked("--orders", "[end]\nmost_life = \"2s\"\n[reload]\nlooks = 2\n");
  CHECK(status == 0);
  CHECK(count(text, "warning: ") == 3);
  CHECK(count(text, "--orders is now called --config") == 1);
  CHECK(count(text, "table end with still_coming and most_life is now called shutdown") == 1);
  CHECK(count(text, "key reload.looks is now called reload.retries") == 1);
  std::tie(text, status) = p.response({"check", "--config", config, "--own", p.file("own.toml", "")});
  CHECK(status == 0);
  CHECK(count(text, "--own is now called --operator-config") == 1);
  CHECK(checked("--config", "[end]\n[shutdown]\n").second == 2);  // both at once
  CHECK(checked("--config", "[reload]\nlooks = 1\nretries = 1\n").second == 2);
  CHECK(checked("--config", "[shutdown]\naccept_for = \"9s\"\nkilled_after = \"1s\"\n").second == 2);
  CHECK(checked("--config", "[shutdown]\nstill_coming = \"1s\"\n").second == 2);
  CHECK(checked("--config", "[reload]\nretries = 13\n").second == 2);
}

TEST_CASE("an address in use fails the start with 1, and [log] form = json makes lines JSON objects") {
  Program p;
  p.start(p.config(), p.file("own.toml", "[log]\nform = \"json\"\n"));
  REQUIRE(p.logHolds(R"({"level":"info","event":"ready","text":"accepting clients"})"));
  CHECK(p.response({"serve", "--config", p.file("orders.json", p.config())}).second == 1);
  p.signal(SIGTERM);
  CHECK(p.exitStatus() == 0);
  CHECK(p.log().find(R"("event":"stopped")") != std::string::npos);
}

TEST_CASE("idle clients hold all descriptors while discovery is down: its return is noticed at once") {
  constexpr int kCrowd = 160;  // for 48 places; none of them closes when it is told to
  Program p;
  p.startReady();
  p.limitDescriptors(128);
  std::optional<TestPeer> watch;
  REQUIRE(within([&] { return p.discovery.accept(watch); }));
  watch->send("HTTP/1.1 200 OK\r\n\r\n\n");
  p.discovery.close();
  watch->closeWithReset();
  REQUIRE(p.logHolds("warning: discovery_unreachable: "));
  std::vector<TestPeer> crowd;
  for (int n = 0; n < kCrowd; ++n) {
    crowd.push_back(p.client());
    if (n % 2 == 0) crowd.back().send("GET /health/live HTTP/1.1\r\n\r\n");
    if (n % 10 == 1) crowd.back().send("GET /health/li");
  }
  std::this_thread::sleep_for(700ms);  // asks of discovery fail meanwhile
  // A newcomer is let in, its attempt has a descriptor, and so has the counter.
  TestPeer client = p.client();
  client.send(meteredRequest(1));
  std::optional<TestPeer> host, counter;
  REQUIRE(within([&] { return p.host.accept(host); }));
  REQUIRE(within([&] { return host->hasReceived("\r\n\r\n"); }));
  host->send(okResponse("served"));
  CHECK(within([&] { return client.hasReceived("served"); }));
  CHECK(within(
      [&] { return p.counter.accept(counter) && within([&] { return counter->hasReceived("/tally/"); }); }));
  const PeerListener back(p.discovery.port);
  std::optional<TestPeer> ask, next;
  // The longest wait after silence is 0.375 s by these settings; the rest is a busy machine's.
  REQUIRE(within([&] { return back.accept(ask); }, 1s));
  REQUIRE(within([&] { return ask->hasReceived("from=41 "); }));
  ask->send("HTTP/1.1 200 OK\r\n\r\n{\"generation\":60,\"reset\":true,\"instances\":[" +
            endpointJson(p.host.port, "h1", "terminating") + "]}\n");
  CHECK(p.logHolds("info: discovery_restored: "));
  client.receivedBytes.clear();
  client.send(meteredRequest(2));
  CHECK(within([&] { return client.hasReceived("HTTP/1.1 429"); }));  // the only host drains
  ask->closeWithReset();
  REQUIRE(within([&] { return back.accept(next); }));
  CHECK(within([&] { return next->hasReceived("from=60 "); }));
  CHECK(p.runs());
}
