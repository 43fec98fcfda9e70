// The program's log lines: each test makes the program log events that docs/on-call.md describes.
#include "program.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

std::string debugLevel(const Program& program) {
  return program.writeFile("own.toml", "[log]\nlevel = \"debug\"\n");
}

/// Whether the log contains all of these texts, in this order.
bool containsInOrder(const std::string& log, const std::vector<std::string>& parts) {
  std::size_t from = 0;
  for (const std::string& part : parts) {
    const std::size_t found = log.find(part, from);
    if (found == std::string::npos) return false;
    from = found + part.size();
  }
  return true;
}

std::size_t countOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) ++count;
  return count;
}

}  // namespace

TEST_CASE("the log shows start, graceful shutdown and stop in their order") {
  Program program;
  program.startReady();
  program.signal(SIGTERM);
  CHECK(program.exitStatus() == 0);
  const std::string log = program.log();
  INFO(log);
  CHECK(log.starts_with("info: starting: configuration read, about to listen gateway=n0 listen=127.0.0.1:" +
                        std::to_string(program.listenPort) + " known_hosts=1\n"));
  CHECK(containsInOrder(log, {"info: ready: accepting clients\n", "info: draining: graceful shutdown",
                              "info: closing_idle_connections: closing idle client connections",
                              "unanswered_requests=0\n", "info: stopped: shutdown complete\n"}));
}

TEST_CASE("a start that fails logs one error event and exits with 1 or 2") {
  Program program;
  program.startReady();
  const std::string config = program.writeFile("orders.json", program.config());
  auto [text, status] = program.runCommand({"serve", "--config", config});
  CHECK(status == 1);
  CHECK_THAT(text, Catch::Contains(
                       "error: fatal_error: merlinbridge cannot start or continue step=open_gateway error="));
  CHECK_THAT(text, Catch::Contains("Address already in use"));
  std::tie(text, status) = program.runCommand({"serve", "--orders", "/nowhere.json"});
  CHECK(status == 2);
  CHECK_THAT(text, Catch::Contains("warning: setting_renamed: a setting was given under its old name "
                                   "detail=\"option --orders is now called --config\"\n"));
  CHECK_THAT(text, Catch::Contains("error: config_invalid: platform configuration is invalid "
                                   "error=\"cannot read /nowhere.json\"\n"));
  std::tie(text, status) = program.runCommand({"serve", "--config", config, "--operator-config",
                                               program.writeFile("own.toml", "[log]\nlevle = 1\n")});
  CHECK(status == 2);
  CHECK_THAT(text,
             Catch::Contains("error: operator_config_invalid: operator configuration is invalid error="));
  CHECK_THAT(text, Catch::Contains("own.toml:2:1: unknown key 'log.levle'"));
  CHECK(countOf(text, "error: ") == 1);
}

TEST_CASE("retries of a rejected configuration are logged at debug") {
  Program program;
  program.start(program.config(), debugLevel(program));
  REQUIRE(program.logHolds("info: ready"));
  program.writeConfig("{");
  program.signal(SIGHUP);
  const std::string error = "error=\"the file is not a JSON object\" ";
  CHECK(program.logHolds("warning: config_rejected: configuration rejected, keeping the previous one " +
                         error + "retry=0\n"));
  const std::string retried =
      "debug: config_retry_failed: configuration still invalid, keeping the previous one ";
  CHECK(program.logHolds(retried + error + "retry=1\n"));
  CHECK(program.logHolds(retried + error + "retry=5\n"));
  CHECK(countOf(program.log(), "config_rejected") == 1);
}

TEST_CASE("invalid messages from discovery are logged with host or field") {
  Program program;
  const std::string address = program.host.address();
  const std::string invalidEndpoint =
      replaceOnce(endpointJson(program.host.port, "h1", "in_service"), address, "nowhere");
  program.start(program.config(invalidEndpoint), debugLevel(program));
  std::optional<TestPeer> watch;
  REQUIRE(within([&] { return program.discovery.accept(watch); }));
  watch->send("HTTP/1.1 200 OK\r\n\r\n{\"instances\":[]}\n");
  CHECK(
      program.logHolds("debug: endpoint_list_invalid: endpoint list from discovery cannot be parsed "
                       "error=\"discovery: field 'generation' is missing\"\n"));
  TestPeer client = program.client();
  client.send(clientRequest("look"));
  CHECK(
      program.logHolds("warning: endpoint_address_invalid: host address from discovery cannot be parsed, "
                       "no attempts are sent to it host=h1 error="));
}

TEST_CASE("debug lines follow a request through its attempts") {
  Program program;
  program.start(program.config(), debugLevel(program));
  REQUIRE(program.logHolds("info: ready"));
  TestPeer client = program.client();
  std::optional<TestPeer> host;
  client.send(clientRequest("look"));
  REQUIRE(within([&] { return program.host.accept(host); }));
  REQUIRE(within([&] { return host->hasReceived("\r\n\r\n"); }));
  host->receivedBytes.clear();
  host->send(okResponse("one"));
  REQUIRE(within([&] { return client.hasReceived("one"); }));
  client.send(clientRequest("pay", "x"));
  std::optional<TestPeer> next;  // a request that must not run twice is sent on a new connection
  REQUIRE(within([&] { return program.host.accept(next); }));
  REQUIRE(within([&] { return next->hasReceived("\r\n\r\nx"); }));
  next->closeWithReset();
  REQUIRE(within([&] { return client.hasReceived("HTTP/1.1 502"); }));
  REQUIRE(program.logHolds("status=502 written=complete\n"));
  const std::string log = program.log();
  INFO(log);
  CHECK(containsInOrder(
      log,
      {"debug: attempt_started: attempt started request=", " request_number=", " attempt=0 host=h1\n",
       "debug: attempt_ended: attempt ended request_number=", " attempt=0 host=h1 outcome=ok error=none\n",
       "debug: request_answered: request answered request=", " status=200 written=complete\n",
       "debug: attempt_started: ", "debug: attempt_ended: ", " outcome=lost error=",
       "debug: request_failed: request failed request=", " status=502\n", "debug: request_answered: "}));

  Program drained;
  drained.start(drained.config(endpointJson(drained.host.port, "h1", "terminating")), debugLevel(drained));
  REQUIRE(drained.logHolds("info: ready"));
  TestPeer rejected = drained.client();
  rejected.send(clientRequest("look"));
  CHECK(drained.logHolds("debug: request_rejected: request rejected request="));
  CHECK(drained.logHolds(" status=429\n"));
}

TEST_CASE("a client that disconnects early is logged with its request") {
  Program program;
  program.start(program.config(), debugLevel(program));
  REQUIRE(program.logHolds("info: ready"));
  std::optional<TestPeer> host;
  TestPeer waiting = program.client();
  waiting.send(clientRequest("pay", "x"));
  REQUIRE(within([&] { return program.host.accept(host); }));
  REQUIRE(within([&] { return host->hasReceived("\r\n\r\nx"); }));
  waiting.close();
  CHECK(
      program.logHolds("debug: client_disconnected: client disconnected before its request was answered "
                       "request="));
  CHECK(program.logHolds(" seen_as=end_of_stream\n"));

  // Each request is rejected at once; the responses are never read, so they fill the connection's buffers.
  Program drained;
  drained.start(drained.config(endpointJson(drained.host.port, "h1", "terminating")));
  REQUIRE(drained.logHolds("info: ready"));
  const std::string request = withRequestId(clientRequest("look"), "00ff");
  std::string many;
  for (int copies = 0; copies < 1000; ++copies) many += request;
  TestPeer neverReads = drained.client();
  std::size_t sent = 0;
  int unacknowledged = 0;
  auto lastProgress = std::chrono::steady_clock::now();
  // The gateway has an unwritten response once it stops reading. On a busy machine it may read so slowly that
  // the client's full send buffer accepts nothing for some 100 ms; the unacknowledged bytes show such
  // progress.
  REQUIRE(within(
      [&] {
        const std::size_t accepted = neverReads.trySend(std::string_view(many).substr(sent % request.size()));
        sent += accepted;
        const int stillUnacknowledged = neverReads.unacknowledgedBytes();
        const bool progressed = accepted > 0 || stillUnacknowledged != unacknowledged;
        unacknowledged = stillUnacknowledged;
        if (progressed) lastProgress = std::chrono::steady_clock::now();
        return std::chrono::steady_clock::now() - lastProgress > 2s;
      },
      60s));
  neverReads.closeWithReset();
  CHECK(
      drained.logHolds("info: response_incomplete: connection closed before the response was written "
                       "completely request=00000000000000ff error="));
}

TEST_CASE("a process that was stopped logs how late its timers were") {
  Program program;
  program.startReady();
  program.signal(SIGSTOP);
  std::this_thread::sleep_for(600ms);
  program.signal(SIGCONT);
  REQUIRE(program.logHolds("warning: event_loop_stalled: event loop stalled, timers fired late late_ms="));
  program.signal(SIGTERM);
  CHECK(program.exitStatus() == 0);
  CHECK(program.logHolds("info: event_loop_stalls_total: event loop stalls since start count="));
}

TEST_CASE("lines that standard error does not accept are counted in the next line") {
  int ends[2] = {-1, -1};
  REQUIRE(::pipe2(ends, O_CLOEXEC | O_NONBLOCK) == 0);
  const std::string filler(4096, '.');
  while (::write(ends[1], filler.data(), filler.size()) > 0) {
  }
  Program program;
  program.logDescriptor = ends[1];
  program.start(program.config());
  std::optional<TestPeer> client;
  REQUIRE(within([&] {  // by then, the `starting` and `ready` lines have been dropped
    if (!client || client->isClosedByRemote()) client.emplace(program.client());
    client->send("GET /health/ready HTTP/1.1\r\n\r\n");
    return client->hasReceived("HTTP/1.1 200");
  }));
  std::string log;
  const auto readAll = [&] {
    std::string bytes(65536, '\0');
    for (ssize_t got = 0; (got = ::read(ends[0], bytes.data(), bytes.size())) > 0;)
      log.append(bytes, 0, static_cast<std::size_t>(got));
  };
  readAll();
  program.signal(SIGHUP);
  CHECK(within([&] {
    readAll();
    return containsInOrder(log,
                           {"warning: log_lines_dropped: log lines dropped, standard error did not accept "
                            "them count=2\n",
                            "info: config_reloaded: "});
  }));
  ::close(ends[0]);
  ::close(ends[1]);
}
