// The program as a process: start, signals and exit, with its peers simulated on loopback.
#include "program.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

TEST_CASE("SIGHUP moves discovery and the counter service, and ends neither the process nor a request") {
  Program program;
  program.startReady();
  std::optional<TestPeer> watch, host, moved, counterPeer;
  REQUIRE(within([&] { return program.discovery.accept(watch); }));
  REQUIRE(within([&] { return watch->hasReceived("watch=1&from=41 "); }));
  watch->send(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: "
      "chunked\r\n\r\n24\r\n{\"generation\":45,\n\"instances\":[]}\n\n\n\r\n");
  TestPeer client = program.client();
  client.send(clientRequest("look"));
  REQUIRE(within([&] { return program.host.accept(host); }));
  REQUIRE(within([&] { return host->hasReceived("\r\n\r\n"); }));
  PeerListener discovery, counter;
  program.writeConfig(gatewayConfigText("127.0.0.1:" + std::to_string(program.listenPort),
                                        discovery.address(), counter.address(),
                                        endpointJson(program.host.port, "h1", "in_service"), 128));
  for (int count = 0; count < 5; ++count) program.signal(SIGHUP);
  REQUIRE(within([&] { return discovery.accept(moved); }));
  CHECK(within([&] { return moved->hasReceived("watch=1&from=45 "); }));
  CHECK(within([&] { return watch->isClosedByRemote(); }));
  host->send(okResponse("one"));
  CHECK(within([&] { return client.hasReceived("one"); }));
  client.receivedBytes.clear();
  client.send(meteredRequest(1));
  CHECK(within([&] { return counter.accept(counterPeer); }));
  CHECK(within([&] { return counterPeer->hasReceived("POST /tally/u1."); }));
  CHECK(program.isRunning());
}

TEST_CASE(
    "a configuration file that is missing, half written or wrong is rejected, and loaded once complete") {
  Program program;
  program.startReady();
  PeerListener discovery;
  const std::string good =
      gatewayConfigText("127.0.0.1:" + std::to_string(program.listenPort), discovery.address(),
                        program.counter.address(), endpointJson(program.host.port, "h1", "in_service"), 128);
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
  program.writeConfig(bad);
  for (int count = 0; count < 3; ++count) program.signal(SIGHUP);
  REQUIRE(program.logHolds("warning: config_rejected: configuration rejected, keeping the previous one "));
  std::optional<TestPeer> watch, moved;
  CHECK(program.discovery.accept(watch));
  CHECK_FALSE(watch->isClosedByRemote());
  program.writeConfig(good);  // the file is completely written now
  CHECK(within([&] { return discovery.accept(moved); }));
  CHECK(program.isRunning());
  const std::string log = program.log();
  CHECK(log.find("config_rejected") == log.rfind("config_rejected"));
}

TEST_CASE("SIGHUP during graceful shutdown does not cut it short") {
  Program program;
  program.startReady();
  std::optional<TestPeer> host;
  TestPeer client = program.client();
  client.send(clientRequest("look", "", "", 1900));
  REQUIRE(within([&] { return program.host.accept(host); }));
  REQUIRE(within([&] { return host->hasReceived("\r\n\r\n"); }));
  program.signal(SIGTERM);
  REQUIRE(program.logHolds("info: draining: "));
  program.signal(SIGHUP);
  REQUIRE(program.logHolds("info: config_reloaded: "));
  REQUIRE(program.logHolds("info: closing_idle_connections: "));
  program.signal(SIGHUP);
  program.signal(SIGTERM);
  host->send(okResponse("one"));
  CHECK(within([&] { return client.hasReceived("one"); }));
  CHECK(program.exitStatus() == 0);
}

TEST_CASE("SIGTERM under steady load: every request accepted in time is answered, and the process exits") {
  Program program;
  program.startReady();
  std::vector<std::pair<TestPeer, int>> clients;  // with the number of outstanding requests of each
  std::vector<TestPeer> hosts;
  const std::string hang = clientRequest("pay", "x", "", 5000);
  TestPeer hanging = program.client();
  hanging.send(hang);
  clients.reserve(8);
  for (int count = 0; count < 8; ++count) clients.emplace_back(program.client(), 0);
  int answered = 0, unanswered = 0;
  const auto serve = [&] {
    std::optional<TestPeer> host;
    while (program.host.accept(host)) hosts.push_back(std::move(*host));
    for (TestPeer& peer : hosts) {
      if (!peer.hasReceived("\r\n\r\n") || peer.receivedBytes.starts_with("POST")) continue;
      peer.receivedBytes.clear();
      peer.send(okResponse("one"));
    }
    for (auto& [client, outstanding] : clients) {
      if (outstanding > 0 && client.hasReceived("one"))
        client.receivedBytes.clear(), --outstanding, ++answered;
      if (client.isClosedByRemote() && outstanding > 0) outstanding = 0, ++unanswered;
      if (!client.remoteClosed && outstanding == 0) client.send(clientRequest("look")), ++outstanding;
    }
  };
  REQUIRE(within([&] { return serve(), answered > 100; }));
  program.signal(SIGTERM);
  program.signal(SIGHUP);
  const auto signalledAt = std::chrono::steady_clock::now();
  CHECK(within([&] { return serve(), !program.isRunning(); }));
  CHECK(std::chrono::steady_clock::now() - signalledAt < 2700ms);  // longest deadline + 0.7 s acceptFor
  CHECK(program.exitStatus() == 0);
  CHECK(unanswered <= 8);  // sent while the connection was being closed: a client would retry them
  CHECK(hanging.hasReceived("HTTP/1.1 502"));
}

TEST_CASE(
    "SIGTERM and SIGHUP while the configuration is read: it serves, shuts down gracefully and exits with 0") {
  Program program;
  const std::string path = program.makeConfigPipe();
  program.start("");
  {
    std::ofstream pipe(path);  // blocks until the program opens the file
    program.signal(SIGHUP);
    program.signal(SIGTERM);
    program.signal(SIGTERM);
    program.replaceConfigPipe();
    pipe << program.config();
  }
  CHECK(program.logHolds("info: draining: "));
  CHECK(program.exitStatus() == 0);
  CHECK(program.log().find("info: ready") < program.log().find("info: draining"));
}

TEST_CASE("SIGTERM ends the process before SIGKILL is due, whatever clients do with their connections") {
  Program program;
  program.startReady();
  std::optional<TestPeer> host;
  TestPeer idle = program.client(), silent = program.client(), incomplete = program.client(),
           neverReads = program.client(), waiting = program.client();
  idle.send("GET /health/live HTTP/1.1\r\n\r\n");
  REQUIRE(within([&] { return idle.hasReceived("live"); }));
  incomplete.send("POST /pay HTTP/1.1\r\nReq-Id: 1\r\nContent-Length: 10\r\n\r\nhalf");
  const std::string live = "GET /health/live HTTP/1.1\r\n\r\n";
  std::string many;
  for (int count = 0; count < 60'000; ++count) many += live;
  std::size_t sent = 0;
  const auto sendMore = [&] {
    sent += neverReads.trySend(std::string_view(many).substr(sent % live.size()));
  };
  for (int count = 0; count < 50; ++count) sendMore();  // without reading the responses
  waiting.send(clientRequest("pay", "x", "", 5000));
  REQUIRE(within([&] { return program.host.accept(host); }));
  REQUIRE(within([&] { return host->hasReceived("\r\n\r\nx"); }));
  program.signal(SIGTERM);
  const auto signalledAt = std::chrono::steady_clock::now();
  REQUIRE(program.logHolds("info: closing_idle_connections: "));
  idle.send(clientRequest("look"));  // sent while the gateway closes the idle connection
  REQUIRE(program.logHolds("info: stopped"));
  CHECK(std::chrono::steady_clock::now() - signalledAt < 2700ms);  // longest deadline + 0.7 s acceptFor
  CHECK(program.exitStatus() == 0);
  CHECK(within(
      [&] { return idle.isClosedByRemote() && silent.isClosedByRemote() && waiting.isClosedByRemote(); }));
  CHECK_FALSE((idle.wasReset || silent.wasReset || waiting.wasReset));
  CHECK(waiting.hasReceived("HTTP/1.1 502"));
}

TEST_CASE("a new process takes over the address at once, with hundreds of gateways and hosts known") {
  Program program;
  std::string hosts = endpointJson(program.host.port, "h0", "in_service");
  for (int number = 1; number < 600; ++number)
    hosts += "," + endpointJson(program.host.port, "h" + std::to_string(number), "in_service");
  const std::string text = replaceOnce(program.config(hosts), "\"siblings\":1", "\"siblings\":350");
  std::vector<std::optional<TestPeer>> reached;
  std::size_t payments = 0;
  const auto acceptAndCountPayments = [&] {
    for (std::optional<TestPeer> host; program.host.accept(host); host.reset())
      reached.push_back(std::exchange(host, std::nullopt));
    payments = 0;
    for (auto& host : reached) payments += host->hasReceived("POST /pay");
    return payments;
  };
  program.start(text);
  REQUIRE(program.logHolds("info: ready"));
  TestPeer before = program.client();
  before.send(clientRequest("pay", "x", "", 1500));
  REQUIRE(within([&] { return acceptAndCountPayments() == 1; }));
  program.signal(SIGTERM);
  REQUIRE(program.logHolds("info: closing_idle_connections: "));
  for (auto& host : reached)
    if (host->hasReceived("POST /pay")) host->send(okResponse("one"));
  CHECK(program.exitStatus() == 0);
  REQUIRE(within([&] { return before.isClosedByRemote(); }));
  CHECK_THAT(before.receivedBytes, Catch::StartsWith("HTTP/1.1 200") && Catch::EndsWith("one"));
  const auto startedAt = std::chrono::steady_clock::now();
  program.start(text);  // while connections of the old process may still be in TIME_WAIT
  TestPeer after = program.client();
  REQUIRE(within([&] {
    if (after.isClosedByRemote()) after = program.client();
    after.send("GET /health/ready HTTP/1.1\r\n\r\n");
    return after.hasReceived("HTTP/1.1 200");
  }));
  CHECK(std::chrono::steady_clock::now() - startedAt < 10s);
  after.receivedBytes.clear();
  after.send(clientRequest("pay", "y", "", 1500));
  // The request of the old process is not sent again.
  CHECK(within([&] { return acceptAndCountPayments() == 2; }));
}

TEST_CASE("check reports each error with its place and starts nothing") {
  Program program;
  const std::string config = program.writeFile("orders.json", program.config());
  const auto check = [&](const std::string& own) {
    return program.runCommand(
        {"check", "--config", config, "--operator-config", program.writeFile("own.toml", own)});
  };
  auto [text, status] = check("[log]\nform = \"json\"\n[end]\nstill_coming = \"1s\"\n");
  CHECK(status == 0);
  CHECK(text.find("configuration: valid: 1 hosts known, 3 methods") != std::string::npos);
  std::tie(text, status) = check("[log]\nlevle = \"info\"\n");
  CHECK(status == 2);
  CHECK(text.find("own.toml:2:1: unknown key 'log.levle'") != std::string::npos);
  std::tie(text, status) = check("[log]\nlevel = 3\n");
  CHECK(text.find("own.toml:2:9: 'log.level': expected one of debug, info, warning, error, found 3") !=
        std::string::npos);
  CHECK(check("[end]\nstill_coming = \"9s\"\nmost_life = \"1s\"\n").second == 2);
  CHECK(check("[end\n").second == 2);
  CHECK(program.runCommand({"check", "--config", program.writeFile("orders.json", "{")}).second == 2);
  CHECK(program.runCommand({"check"}).second == 2);
  CHECK(program.runCommand({"serve"}).second == 2);
  CHECK(program.runCommand({"unknown"}).second == 2);
  CHECK(program.runCommand({"--help"}).second == 0);
  CHECK(program.runCommand({"version"}).first.starts_with("merlinbridge "));
}

TEST_CASE("old names of options and keys are read, each with one warning that names both") {
  Program program;
  const std::string config = program.writeFile("orders.json", program.config());
  const auto check = [&](const std::string& option, const std::string& own) {
    return program.runCommand(
        {"check", option, config, "--operator-config", program.writeFile("own.toml", own)});
  };
  const auto countOf = [](const std::string& text, const std::string& part) {
    int count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
    return count;
  };
  auto [text, status] = check("--config", "[shutdown]\naccept_for = \"1s\"\n[reload]\nretries = 2\n");
  CHECK(status == 0);
  CHECK(countOf(text, "warning") == 0);
  std::tie(text, status) = check("--orders", "[end]\nmost_life = \"2s\"\n[reload]\nlooks = 2\n");
  CHECK(status == 0);
  CHECK(countOf(text, "warning: ") == 3);
  CHECK(countOf(text, "--orders is now called --config") == 1);
  CHECK(countOf(text, "table end with still_coming and most_life is now called shutdown") == 1);
  CHECK(countOf(text, "key reload.looks is now called reload.retries") == 1);
  std::tie(text, status) =
      program.runCommand({"check", "--config", config, "--own", program.writeFile("own.toml", "")});
  CHECK(status == 0);
  CHECK(countOf(text, "--own is now called --operator-config") == 1);
  CHECK(check("--config", "[end]\n[shutdown]\n").second == 2);  // the old and the new name together
  CHECK(check("--config", "[reload]\nlooks = 1\nretries = 1\n").second == 2);
  CHECK(check("--config", "[shutdown]\naccept_for = \"9s\"\nkilled_after = \"1s\"\n").second == 2);
  CHECK(check("--config", "[shutdown]\nstill_coming = \"1s\"\n").second == 2);
  CHECK(check("--config", "[reload]\nretries = 13\n").second == 2);
}

TEST_CASE("an address in use fails the start with 1, and [log] form = json makes lines JSON objects") {
  Program program;
  program.start(program.config(), program.writeFile("own.toml", "[log]\nform = \"json\"\n"));
  REQUIRE(program.logHolds(R"({"level":"info","event":"ready","text":"accepting clients"})"));
  CHECK(
      program.runCommand({"serve", "--config", program.writeFile("orders.json", program.config())}).second ==
      1);
  program.signal(SIGTERM);
  CHECK(program.exitStatus() == 0);
  CHECK(program.log().find(R"("event":"stopped")") != std::string::npos);
}

TEST_CASE("idle clients hold all descriptors while discovery is down: its return is noticed at once") {
  constexpr int kIdleClients = 160;  // for 48 connections; none closes its own when asked to
  Program program;
  program.startReady();
  program.limitDescriptors(128);
  std::optional<TestPeer> watch;
  REQUIRE(within([&] { return program.discovery.accept(watch); }));
  watch->send("HTTP/1.1 200 OK\r\n\r\n\n");
  program.discovery.close();
  watch->closeWithReset();
  REQUIRE(program.logHolds("warning: discovery_unreachable: "));
  std::vector<TestPeer> idleClients;
  for (int count = 0; count < kIdleClients; ++count) {
    idleClients.push_back(program.client());
    if (count % 2 == 0) idleClients.back().send("GET /health/live HTTP/1.1\r\n\r\n");
    if (count % 10 == 1) idleClients.back().send("GET /health/li");
  }
  std::this_thread::sleep_for(700ms);  // requests to discovery fail in the meantime
  // A new client is accepted, and descriptors are left for its attempt and for the counter service.
  TestPeer client = program.client();
  client.send(meteredRequest(1));
  std::optional<TestPeer> host, counter;
  REQUIRE(within([&] { return program.host.accept(host); }));
  REQUIRE(within([&] { return host->hasReceived("\r\n\r\n"); }));
  host->send(okResponse("served"));
  CHECK(within([&] { return client.hasReceived("served"); }));
  CHECK(within([&] {
    return program.counter.accept(counter) && within([&] { return counter->hasReceived("/tally/"); });
  }));
  const PeerListener back(program.discovery.port);
  std::optional<TestPeer> ask, next;
  // With these settings the longest pause before the next request to discovery is 0.375 s; the rest of the
  // second allows for a busy machine.
  REQUIRE(within([&] { return back.accept(ask); }, 1s));
  REQUIRE(within([&] { return ask->hasReceived("from=41 "); }));
  ask->send("HTTP/1.1 200 OK\r\n\r\n{\"generation\":60,\"reset\":true,\"instances\":[" +
            endpointJson(program.host.port, "h1", "terminating") + "]}\n");
  CHECK(program.logHolds("info: discovery_restored: "));
  client.receivedBytes.clear();
  client.send(meteredRequest(2));
  CHECK(within([&] { return client.hasReceived("HTTP/1.1 429"); }));  // the only host is draining
  ask->closeWithReset();
  REQUIRE(within([&] { return back.accept(next); }));
  CHECK(within([&] { return next->hasReceived("from=60 "); }));
  CHECK(program.isRunning());
}
