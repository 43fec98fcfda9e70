// The program while system calls fail for a moment: what was taken is answered, and nobody else is blamed.
#include <cerrno>
#include <memory>
#include <system_error>

#include "program.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

/// The program with faults, and a host that answers every request at once.
class FaultyProgram : public Program {
 public:
  FaultyProgram() : Program(MERLINBRIDGE_WITH_FAULTS), faults(faultPlanFile()) {}

  /// A client whose connection has carried a call already, none of it to a host.
  Peer keptClient() const {
    Peer kept = client();
    kept.send("GET /health/live HTTP/1.1\r\n\r\n");
    REQUIRE(within([&] { return kept.holds("live"); }));
    kept.got.clear();
    return kept;
  }
  /// Host's part: answers what has come. True: `client` has its whole answer.
  bool servedTo(Peer& client) {
    std::optional<Peer> connection;
    while (host.accept(connection)) hostConnections_.push_back(std::move(*connection));
    for (Peer& open : hostConnections_) {
      if (!open.holds("\r\n\r\n")) continue;
      open.got.clear();
      open.send(LoopbackGateway::ok("one"));
      ++requestsAtHost;
    }
    return client.holds("one");
  }
  bool servedWithin(Peer& client, Duration timeout) {
    return within([&] { return servedTo(client); }, timeout);
  }

  FaultPlan faults;
  int requestsAtHost = 0;

 private:
  std::vector<Peer> hostConnections_;
};

/// A call to the system, and how it fails.
struct Failure {
  std::string name;
  FaultyCall call;
  int error;
};

// The deadline of these requests is 0.9 s: an answer by then is well in time.
constexpr Duration kInTime = 700ms;
constexpr int kMomentsCalls = 3;  // as many calls fail in a moment's shortage

}  // namespace

TEST_CASE("a connection that breaks while it is accepted holds up neither requests, timers nor the end") {
  const int error = GENERATE(ECONNABORTED, EPROTO);
  FaultyProgram p;
  p.startReady();
  Peer kept = p.client();
  kept.send(LoopbackGateway::request("look"));
  REQUIRE(p.servedWithin(kept, kTimeout));
  kept.got.clear();
  Peer half = p.client();
  half.send("GET /look HTTP/1.1\r\nReq-Id: 00f");
  kept.send(LoopbackGateway::request("look"));
  REQUIRE(p.servedWithin(kept, kTimeout));
  kept.got.clear();
  p.faults.fail(FaultyCall::accept, error, 1);
  Peer aborted = p.client();
  REQUIRE(within([&] { return p.faults.failed(FaultyCall::accept) == 1; }));
  kept.send(LoopbackGateway::request("look"));
  CHECK(p.servedWithin(kept, kInTime));
  CHECK(within([&] { return half.holds("HTTP/1.1 408"); }, 2500ms));
  p.signal(SIGTERM);
  CHECK(within([&] { return !p.runs(); }, 2700ms));
}

TEST_CASE("half a request gets its error within 3 s of connecting, however long the deadlines are") {
  const std::string longestDeadline = GENERATE(as<std::string>(), "2952000", "6501555");
  Program p;
  std::string config = p.config();
  for (std::size_t at = 0; (at = config.find("\"hardLimit\":2000000", at)) != std::string::npos;)
    config.replace(at, 19, "\"hardLimit\":" + longestDeadline);
  p.start(config);
  REQUIRE(p.logHolds("info: ready"));
  const auto connected = std::chrono::steady_clock::now();
  Peer atOnce = p.client(), later = p.client();
  atOnce.send("POST /save HTTP/1.1\r\nReq-Id: 00f");
  std::this_thread::sleep_for(300ms);
  later.send("POST /save HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
  CHECK(within([&] { return atOnce.ended() && later.ended(); }, 4s));
  CHECK(std::chrono::steady_clock::now() - connected < 3s);
  CHECK(atOnce.holds("HTTP/1.1 408"));
  CHECK(later.holds("HTTP/1.1 408"));
}

TEST_CASE("a system call that fails for a moment costs no request and no host its place") {
  const Failure failure = GENERATE(values<Failure>({
      {"accept: no descriptor in the system", FaultyCall::accept, ENFILE},
      {"accept: no buffers", FaultyCall::accept, ENOBUFS},
      {"accept: no memory", FaultyCall::accept, ENOMEM},
      {"accept: firewall", FaultyCall::accept, EPERM},
      {"accept: network down", FaultyCall::accept, ENETDOWN},
      {"accept: interrupted", FaultyCall::accept, EINTR},
      {"registration: no memory", FaultyCall::epollAdd, ENOMEM},
      {"registration: no watches", FaultyCall::epollAdd, ENOSPC},
      {"socket: no descriptor in the system", FaultyCall::socket, ENFILE},
      {"socket: no descriptor in the process", FaultyCall::socket, EMFILE},
      {"socket: no buffers", FaultyCall::socket, ENOBUFS},
      {"connect: interrupted", FaultyCall::connect, EINTR},
      {"connect: no port", FaultyCall::connect, EADDRNOTAVAIL},
      {"connect: no way", FaultyCall::connect, ENETUNREACH},
      {"connect: no entry", FaultyCall::connect, EAGAIN},
      {"receive: interrupted", FaultyCall::receive, EINTR},
      {"receive: no memory", FaultyCall::receive, ENOMEM},
      {"send: interrupted", FaultyCall::send, EINTR},
      {"send: no buffers", FaultyCall::send, ENOBUFS},
      {"send: no memory", FaultyCall::send, ENOMEM},
      {"poll: interrupted", FaultyCall::poll, EINTR},
      {"wait: interrupted", FaultyCall::epollWait, EINTR},
      {"set non-blocking", FaultyCall::setNonBlocking, ENOMEM},
  }));
  INFO(failure.name);
  FaultyProgram p;
  p.startReady();
  Peer kept = p.keptClient();
  p.faults.fail(failure.call, failure.error, kMomentsCalls);
  Peer fresh = p.client();
  fresh.send(LoopbackGateway::request("look"));
  kept.send(LoopbackGateway::request("look"));
  CHECK(p.servedWithin(fresh, kInTime));
  CHECK(p.servedWithin(kept, kInTime));
  CHECK(p.requestsAtHost == 2);
  CHECK(p.faults.failed(failure.call) > 0);
  // The host is not avoided for it.
  for (int n = 0; n < 5; ++n) {
    kept.got.clear();
    kept.send(LoopbackGateway::request("look"));
    REQUIRE(p.servedWithin(kept, kInTime));
  }
  p.signal(SIGTERM);
  CHECK(p.exitStatus() == 0);
}

TEST_CASE("a timer that the system refuses to set is due all the same") {
  FaultyProgram p;
  p.faults.fail(FaultyCall::setTimer, ENOMEM, 1000);
  p.startReady();
  Peer half = p.client();
  half.send("GET /look HTTP/1.1\r\nReq-Id: 00f");
  CHECK(within([&] { return half.holds("HTTP/1.1 408"); }, 2500ms));
  CHECK(p.faults.failed(FaultyCall::setTimer) > 0);
}

TEST_CASE("readiness that the system was not asked for is noticed in time") {
  FaultyProgram p;
  p.startReady();
  Peer kept = p.keptClient();
  p.faults.fail(FaultyCall::epollModify, ENOMEM, 4);
  kept.send(LoopbackGateway::request("look"));
  CHECK(p.servedWithin(kept, kInTime));
  Peer fresh = p.client();
  fresh.send(LoopbackGateway::request("look"));
  CHECK(p.servedWithin(fresh, kInTime));
  CHECK(p.faults.failed(FaultyCall::epollModify) == 4);
}

// Bytes are read and taken one by one, and the system forgets each wait for more.
TEST_CASE("short reads and writes go on at once, without a wait") {
  const FaultyCall call = GENERATE(FaultyCall::shortSend, FaultyCall::shortReceive);
  FaultyProgram p;
  p.startReady();
  Peer kept = p.keptClient();
  p.faults.fail(call, 0, 1000);
  p.faults.fail(FaultyCall::epollModify, ENOMEM, 1000);
  kept.send(LoopbackGateway::request("look"));
  CHECK(p.servedWithin(kept, kInTime));
  CHECK(p.faults.failed(call) > 20);
}

TEST_CASE("a signal that could not be passed on is heeded all the same") {
  const auto [call, error] = GENERATE(table<FaultyCall, int>({
      {FaultyCall::pipeWrite, EAGAIN},
      {FaultyCall::pipeWrite, EINTR},
      {FaultyCall::pipeRead, EINTR},
      {FaultyCall::epollWait, EINTR},
  }));
  FaultyProgram p;
  p.startReady();
  p.faults.fail(call, error, kMomentsCalls);
  p.signal(SIGHUP);
  CHECK(within([&] { return p.log().find("config_reloaded") != std::string::npos; }, 1s));
  p.faults.fail(call, error, kMomentsCalls);
  p.signal(SIGTERM);
  CHECK(within([&] { return !p.runs(); }, 2700ms));
  CHECK(p.exitStatus() == 0);
}

TEST_CASE("the log goes on after a write that has failed") {
  const int error = GENERATE(EIO, ENOSPC, EINTR, EAGAIN);
  FaultyProgram p;
  p.startReady();
  p.faults.fail(FaultyCall::logWrite, error, 1);
  p.signal(SIGHUP);
  REQUIRE(within([&] { return p.faults.failed(FaultyCall::logWrite) == 1; }));
  const std::string line = "config_reloaded";
  CHECK(within([&] { return p.signal(SIGHUP), p.log().find(line) != std::string::npos; }, 1s));
}

TEST_CASE("a log that is not read holds nothing up") {
  int ends[2] = {-1, -1};
  REQUIRE(::pipe2(ends, O_CLOEXEC) == 0);
  ::fcntl(ends[1], F_SETFL, O_NONBLOCK);
  const std::string rubbish(4096, '.');
  while (::write(ends[1], rubbish.data(), rubbish.size()) > 0) {
  }
  ::fcntl(ends[1], F_SETFL, 0);
  FaultyProgram p;
  p.logDescriptor = ends[1];
  p.start(p.config());
  std::optional<Peer> client;
  CHECK(within(
      [&] {
        if (!client || client->ended()) client.emplace(p.client());
        client->send("GET /health/ready HTTP/1.1\r\n\r\n");
        return client->holds("HTTP/1.1 200");
      },
      2s));
  Peer fresh = p.client();
  fresh.send(LoopbackGateway::request("look"));
  CHECK(p.servedWithin(fresh, kInTime));
  p.signal(SIGTERM);
  CHECK(within([&] { return !p.runs(); }, 2700ms));
  ::close(ends[0]);
  ::close(ends[1]);
}

TEST_CASE("a system call that fails for a moment while it starts does not end it") {
  const Failure failure = GENERATE(values<Failure>({
      {"bind: no port", FaultyCall::bind, EADDRNOTAVAIL},
      {"bind: no memory", FaultyCall::bind, ENOMEM},
      {"listen: no buffers", FaultyCall::listen, ENOBUFS},
      {"socket: no descriptor in the system", FaultyCall::socket, ENFILE},
      {"registration: no memory", FaultyCall::epollAdd, ENOMEM},
      {"file: read error", FaultyCall::fileRead, EIO},
      {"file: interrupted", FaultyCall::fileRead, EINTR},
  }));
  INFO(failure.name);
  FaultyProgram p;
  p.faults.fail(failure.call, failure.error, kMomentsCalls);
  p.start(p.config());
  CHECK(within([&] { return p.log().find("info: ready") != std::string::npos; }, 2s));
  REQUIRE(p.runs());
  CHECK(p.faults.failed(failure.call) == kMomentsCalls);
  Peer client = p.client();
  client.send(LoopbackGateway::request("look"));
  CHECK(p.servedWithin(client, kInTime));
}

TEST_CASE("a shortage that lasts leaves no request without its answer, and ends with it") {
  const auto [call, error] = GENERATE(table<FaultyCall, int>({
      {FaultyCall::socket, ENFILE},
      {FaultyCall::connect, EADDRNOTAVAIL},
      {FaultyCall::connect, ENETUNREACH},
      {FaultyCall::receive, ENOMEM},
      {FaultyCall::send, ENOBUFS},
      {FaultyCall::accept, ENFILE},
      {FaultyCall::epollAdd, ENOSPC},
  }));
  INFO(static_cast<int>(call) << ", " << std::generic_category().message(error));
  FaultyProgram p;
  p.startReady();
  Peer kept = p.keptClient();
  p.faults.fail(call, error, 1'000'000);
  Peer fresh = p.client();
  kept.send(LoopbackGateway::request("pay", "x", "", 2000));
  fresh.send(LoopbackGateway::request("look", "", "", 2000));
  CHECK_FALSE(p.servedWithin(fresh, 1s));
  p.faults.stop(call);
  const auto answered = [&](Peer& client) { return p.servedTo(client) || client.holds("HTTP/1.1 "); };
  CHECK(within([&] { return answered(kept); }, 1s));
  CHECK(within([&] { return answered(fresh); }, 1s));
  CHECK_FALSE((kept.over || fresh.over));
  Peer after = p.client();
  after.send(LoopbackGateway::request("look"));
  CHECK(p.servedWithin(after, kInTime));
}

TEST_CASE("the counter and discovery are reached though this machine fails to dial for a moment") {
  const int error = GENERATE(EADDRNOTAVAIL, ENETUNREACH, EINTR);
  FaultyProgram p;
  p.faults.fail(FaultyCall::connect, error, kMomentsCalls);
  p.startReady();
  std::optional<Peer> watch, count;
  CHECK(within([&] { return p.discovery.accept(watch); }, kInTime));
  p.faults.fail(FaultyCall::connect, error, kMomentsCalls);
  Peer client = p.client();
  client.send(LoopbackGateway::metered(1));
  CHECK(p.servedWithin(client, kInTime));
  CHECK(within([&] { return p.counter.accept(count); }, kInTime));
  CHECK(within([&] { return count->holds("POST /tally/u1."); }, kInTime));
  CHECK(p.log().find("discovery_unreachable") == std::string::npos);
}

TEST_CASE("a stepped wall clock moves no deadline") {
  const int seconds = GENERATE(3600, -3600, 5, -5);
  FaultyProgram p;
  p.startReady();
  Peer half = p.client(), kept = p.client(), waiting = p.client();
  half.send("GET /look HTTP/1.1\r\nReq-Id: 00f");
  waiting.send(LoopbackGateway::request("look", "", "", 900));
  std::optional<Peer> hanging;
  REQUIRE(within([&] { return p.host.accept(hanging); }));
  const auto before = std::chrono::steady_clock::now();
  p.faults.fail(FaultyCall::stepClock, seconds, 1'000'000'000);
  std::this_thread::sleep_for(300ms);
  CHECK_FALSE(half.holds("HTTP/1.1"));
  CHECK_FALSE(waiting.holds("HTTP/1.1"));
  kept.send(LoopbackGateway::request("look"));
  CHECK(p.servedWithin(kept, kInTime));
  CHECK(within([&] { return waiting.holds("HTTP/1.1"); }, 900ms));
  CHECK(within([&] { return half.holds("HTTP/1.1 408"); }, 2500ms));
  CHECK(std::chrono::steady_clock::now() - before > 1500ms);
  p.signal(SIGTERM);
  CHECK(within([&] { return !p.runs(); }, 2700ms));
}

TEST_CASE("a host is told the time that is left when the request goes out, however long that was refused") {
  FaultyProgram p;
  p.startReady();
  Peer client = p.client();
  p.faults.fail(FaultyCall::send, ENOBUFS, 1'000'000);
  client.send(LoopbackGateway::request("pay", "x", "", 1900));
  std::this_thread::sleep_for(500ms);
  p.faults.stop(FaultyCall::send);
  std::optional<Peer> host;
  REQUIRE(within([&] { return p.host.accept(host); }));
  REQUIRE(within([&] { return host->holds("\r\n\r\nx"); }));
  const std::string field = "Req-Deadline-Ms: ";
  const std::size_t at = host->got.find(field);
  REQUIRE(at != std::string::npos);
  const int left = std::stoi(host->got.substr(at + field.size()));
  CHECK(left <= 1900 - 500);
  CHECK(left > 500);
  host->send(LoopbackGateway::ok("one"));
  CHECK(within([&] { return client.holds("one"); }, 1s));
}

TEST_CASE("many calls that fail now and then, together, leave no request without its answer") {
  FaultyProgram p;
  p.startReady();
  constexpr int kAlways = 1'000'000;
  p.faults.fail(FaultyCall::accept, ENFILE, kAlways, 2);
  p.faults.fail(FaultyCall::socket, ENOBUFS, kAlways, 3);
  p.faults.fail(FaultyCall::connect, EADDRNOTAVAIL, kAlways, 3);
  p.faults.fail(FaultyCall::receive, ENOMEM, kAlways, 5);
  p.faults.fail(FaultyCall::send, ENOBUFS, kAlways, 4);
  p.faults.fail(FaultyCall::epollAdd, ENOSPC, kAlways, 3);
  p.faults.fail(FaultyCall::epollModify, ENOMEM, kAlways, 23);
  p.faults.fail(FaultyCall::epollWait, EINTR, kAlways, 7);
  p.faults.fail(FaultyCall::logWrite, EIO, kAlways, 2);
  Peer kept = p.client();
  int served = 0;
  for (int n = 0; n < 40; ++n) {
    Peer fresh = p.client();
    fresh.send(LoopbackGateway::request("look", "", "", 2000));
    kept.send(LoopbackGateway::request("look", "", "", 2000));
    for (Peer* const client : {&fresh, &kept}) {
      const bool answered = within([&] { return p.servedTo(*client) || client->holds("HTTP/1.1 "); }, 2200ms);
      REQUIRE(answered);
      served += client->holds("HTTP/1.1 200") ? 1 : 0;
      client->got.clear();
    }
    REQUIRE_FALSE((fresh.wasReset || kept.over));
  }
  CHECK(served > 40);  // of 80: the module may cancel an attempt whose dial is late, and reject
  p.signal(SIGTERM);
  CHECK(within([&] { return !p.runs(); }, 2700ms));
  CHECK(p.exitStatus() == 0);
}
