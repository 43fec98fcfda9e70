/// \file
/// The program while system calls fail (tests/faults): accepted requests are answered, and a failure of the
/// local system is not counted against a host, the counter service or discovery.
#include <array>
#include <cerrno>
#include <memory>
#include <system_error>

#include "program.hpp"
#include "support/messages.hpp"
#include "support/test_peer.hpp"

using namespace merlinbridge;
using namespace merlinbridge::testing;

namespace {

/// The program with injected faults, and a host that answers every request when a test calls servedTo().
class FaultyProgram : public Program {
 public:
  FaultyProgram() : Program(MERLINBRIDGE_WITH_FAULTS), faults(faultPlanFile()) {}

  /// A client whose connection has already carried a request that the gateway answered without forwarding.
  /// Fails the test after kTimeout.
  TestPeer establishedClient() const {
    TestPeer established = client();
    established.send(kLiveProbe);
    REQUIRE(within([&] { return established.hasReceived("live"); }));
    established.receivedBytes.clear();
    return established;
  }
  /// Answers all requests that have arrived at the host. Returns true if `client` has received a response of
  /// the host.
  bool servedTo(TestPeer& client) {
    std::optional<TestPeer> connection;
    while (host.accept(connection)) hostConnections_.push_back(std::move(*connection));
    for (TestPeer& open : hostConnections_) {
      if (!open.hasReceived(kHeadEnd)) continue;
      open.receivedBytes.clear();
      open.send(okResponse("one"));
      ++requestsAtHost;
    }
    return client.hasReceived("one");
  }
  /// Repeats servedTo() for at most `timeout` of real time. Returns true if the response has arrived.
  bool servedWithin(TestPeer& client, Duration timeout) {
    return within([&] { return servedTo(client); }, timeout);
  }

  FaultPlan faults;
  int requestsAtHost = 0;

 private:
  std::vector<TestPeer> hostConnections_;
};

/// A system call and the error with which it fails.
struct Failure {
  std::string name;
  FaultyCall call;
  int error;
};

/// Bound for a response to a request whose deadline is 900 ms.
constexpr Duration kAnsweredInTime = 700ms;
/// Bound from connecting to the 408 that answers an incomplete request.
constexpr Duration kIncompleteAnsweredWithin = 2500ms;
/// Bound for the exit after SIGTERM: the longest deadline of 2 s plus 0.7 s.
constexpr Duration kExitWithin = 2700ms;
/// Number of calls that fail during a brief shortage.
constexpr int kBriefFailures = 3;
/// More calls than any test makes.
constexpr int kUnlimitedFailures = 1'000'000;
constexpr const char* kIncompleteLook = "GET /look HTTP/1.1\r\nReq-Id: 00f";

bool logged(const Program& program, const std::string& text, Duration timeout) {
  return within([&] { return program.log().find(text) != std::string::npos; }, timeout);
}

bool exitsWithin(Program& program, Duration timeout) {
  return within([&] { return !program.isRunning(); }, timeout);
}

/// A pipe whose buffer is full, so that every further write blocks. Owns both ends.
class FullPipe {
 public:
  FullPipe() {
    REQUIRE(::pipe2(ends_.data(), O_CLOEXEC) == 0);
    ::fcntl(writeEnd(), F_SETFL, O_NONBLOCK);
    const std::string filling(4096, '.');
    while (::write(writeEnd(), filling.data(), filling.size()) > 0) {
    }
    ::fcntl(writeEnd(), F_SETFL, 0);
  }
  FullPipe(const FullPipe&) = delete;
  FullPipe& operator=(const FullPipe&) = delete;
  ~FullPipe() {
    ::close(ends_[0]);
    ::close(ends_[1]);
  }

  int writeEnd() const { return ends_[1]; }

 private:
  std::array<int, 2> ends_{-1, -1};
};

}  // namespace

TEST_CASE(
    "A connection that is aborted while it is accepted delays neither requests, timers nor the shutdown") {
  const int error = GENERATE(ECONNABORTED, EPROTO);
  FaultyProgram program;
  program.startReady();
  TestPeer established = program.client();
  established.send(clientRequest("look"));
  REQUIRE(program.servedWithin(established, kTimeout));
  established.receivedBytes.clear();
  TestPeer incomplete = program.client();
  incomplete.send(kIncompleteLook);
  established.send(clientRequest("look"));
  REQUIRE(program.servedWithin(established, kTimeout));
  established.receivedBytes.clear();
  program.faults.fail(FaultyCall::accept, error, 1);
  TestPeer aborted = program.client();
  REQUIRE(within([&] { return program.faults.failed(FaultyCall::accept) == 1; }));
  established.send(clientRequest("look"));
  CHECK(program.servedWithin(established, kAnsweredInTime));
  CHECK(within([&] { return incomplete.hasReceived("HTTP/1.1 408"); }, kIncompleteAnsweredWithin));
  program.signal(SIGTERM);
  CHECK(exitsWithin(program, kExitWithin));
}

TEST_CASE("An incomplete request is answered 408 within 3 s of connecting, however long the deadlines are") {
  const std::string longestDeadline = GENERATE(as<std::string>(), "2952000", "6501555");
  Program program;
  std::string config = program.config();
  const std::string field = "\"hardLimit\":2000000";
  for (std::size_t at = 0; (at = config.find(field, at)) != std::string::npos;)
    config.replace(at, field.size(), "\"hardLimit\":" + longestDeadline);
  program.start(config);
  REQUIRE(program.logHolds("info: ready"));
  const auto connected = std::chrono::steady_clock::now();
  TestPeer atOnce = program.client();
  TestPeer later = program.client();
  atOnce.send("POST /save HTTP/1.1\r\nReq-Id: 00f");
  std::this_thread::sleep_for(300ms);
  later.send("POST /save HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf");
  CHECK(within([&] { return atOnce.isClosedByRemote() && later.isClosedByRemote(); }, 4s));
  CHECK(std::chrono::steady_clock::now() - connected < 3s);
  CHECK(atOnce.hasReceived("HTTP/1.1 408"));
  CHECK(later.hasReceived("HTTP/1.1 408"));
}

TEST_CASE("A system call that fails briefly costs no request and ejects no host") {
  const Failure failure = GENERATE(values<Failure>({
      {"accept: no descriptor in the system", FaultyCall::accept, ENFILE},
      {"accept: no buffers", FaultyCall::accept, ENOBUFS},
      {"accept: no memory", FaultyCall::accept, ENOMEM},
      {"accept: rejected by a firewall", FaultyCall::accept, EPERM},
      {"accept: network down", FaultyCall::accept, ENETDOWN},
      {"accept: interrupted", FaultyCall::accept, EINTR},
      {"registration: no memory", FaultyCall::epollAdd, ENOMEM},
      {"registration: no watches", FaultyCall::epollAdd, ENOSPC},
      {"socket: no descriptor in the system", FaultyCall::socket, ENFILE},
      {"socket: no descriptor in the process", FaultyCall::socket, EMFILE},
      {"socket: no buffers", FaultyCall::socket, ENOBUFS},
      {"connect: interrupted", FaultyCall::connect, EINTR},
      {"connect: no port", FaultyCall::connect, EADDRNOTAVAIL},
      {"connect: no route", FaultyCall::connect, ENETUNREACH},
      {"connect: no routing entry", FaultyCall::connect, EAGAIN},
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
  FaultyProgram program;
  program.startReady();
  TestPeer established = program.establishedClient();
  program.faults.fail(failure.call, failure.error, kBriefFailures);
  TestPeer newcomer = program.client();
  newcomer.send(clientRequest("look"));
  established.send(clientRequest("look"));
  CHECK(program.servedWithin(newcomer, kAnsweredInTime));
  CHECK(program.servedWithin(established, kAnsweredInTime));
  CHECK(program.requestsAtHost == 2);
  CHECK(program.faults.failed(failure.call) > 0);
  // The host still gets requests.
  for (int count = 0; count < 5; ++count) {
    established.receivedBytes.clear();
    established.send(clientRequest("look"));
    REQUIRE(program.servedWithin(established, kAnsweredInTime));
  }
  program.signal(SIGTERM);
  CHECK(program.exitStatus() == 0);
}

TEST_CASE("A timer that the kernel refuses to set fires nevertheless") {
  FaultyProgram program;
  program.faults.fail(FaultyCall::setTimer, ENOMEM, 1000);
  program.startReady();
  TestPeer incomplete = program.client();
  incomplete.send(kIncompleteLook);
  CHECK(within([&] { return incomplete.hasReceived("HTTP/1.1 408"); }, kIncompleteAnsweredWithin));
  CHECK(program.faults.failed(FaultyCall::setTimer) > 0);
}

TEST_CASE("Readiness is noticed in time though epoll_ctl failed to register for it") {
  FaultyProgram program;
  program.startReady();
  TestPeer established = program.establishedClient();
  program.faults.fail(FaultyCall::epollModify, ENOMEM, 4);
  established.send(clientRequest("look"));
  CHECK(program.servedWithin(established, kAnsweredInTime));
  TestPeer newcomer = program.client();
  newcomer.send(clientRequest("look"));
  CHECK(program.servedWithin(newcomer, kAnsweredInTime));
  CHECK(program.faults.failed(FaultyCall::epollModify) == 4);
}

// Each call transfers one byte, and each registration for readiness fails.
TEST_CASE("Short reads and writes continue at once, without waiting for readiness") {
  const FaultyCall call = GENERATE(FaultyCall::shortSend, FaultyCall::shortReceive);
  FaultyProgram program;
  program.startReady();
  TestPeer established = program.establishedClient();
  program.faults.fail(call, 0, 1000);
  program.faults.fail(FaultyCall::epollModify, ENOMEM, 1000);
  established.send(clientRequest("look"));
  CHECK(program.servedWithin(established, kAnsweredInTime));
  CHECK(program.faults.failed(call) > 20);
}

TEST_CASE("A signal takes effect though its first transfer to the event loop failed") {
  const auto [call, error] = GENERATE(table<FaultyCall, int>({
      {FaultyCall::pipeWrite, EAGAIN},
      {FaultyCall::pipeWrite, EINTR},
      {FaultyCall::pipeRead, EINTR},
      {FaultyCall::epollWait, EINTR},
  }));
  FaultyProgram program;
  program.startReady();
  program.faults.fail(call, error, kBriefFailures);
  program.signal(SIGHUP);
  CHECK(logged(program, "config_reloaded", 1s));
  program.faults.fail(call, error, kBriefFailures);
  program.signal(SIGTERM);
  CHECK(exitsWithin(program, kExitWithin));
  CHECK(program.exitStatus() == 0);
}

TEST_CASE("The log continues after a failed write") {
  const int error = GENERATE(EIO, ENOSPC, EINTR, EAGAIN);
  FaultyProgram program;
  program.startReady();
  program.faults.fail(FaultyCall::logWrite, error, 1);
  program.signal(SIGHUP);
  REQUIRE(within([&] { return program.faults.failed(FaultyCall::logWrite) == 1; }));
  const auto reloadIsLogged = [&] {
    program.signal(SIGHUP);
    return program.log().find("config_reloaded") != std::string::npos;
  };
  CHECK(within(reloadIsLogged, 1s));
}

TEST_CASE("A log pipe that nobody reads blocks neither requests nor the shutdown") {
  FullPipe pipe;
  FaultyProgram program;
  program.logDescriptor = pipe.writeEnd();
  program.start(program.config());
  std::optional<TestPeer> client;
  CHECK(within(
      [&] {
        if (!client || client->isClosedByRemote()) client.emplace(program.client());
        client->send(kReadyProbe);
        return client->hasReceived("HTTP/1.1 200");
      },
      2s));
  TestPeer newcomer = program.client();
  newcomer.send(clientRequest("look"));
  CHECK(program.servedWithin(newcomer, kAnsweredInTime));
  program.signal(SIGTERM);
  CHECK(exitsWithin(program, kExitWithin));
}

TEST_CASE("A system call that fails briefly during start does not end the process") {
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
  FaultyProgram program;
  program.faults.fail(failure.call, failure.error, kBriefFailures);
  program.start(program.config());
  CHECK(logged(program, "info: ready", 2s));
  REQUIRE(program.isRunning());
  CHECK(program.faults.failed(failure.call) == kBriefFailures);
  TestPeer client = program.client();
  client.send(clientRequest("look"));
  CHECK(program.servedWithin(client, kAnsweredInTime));
}

TEST_CASE("A lasting shortage leaves no request without a response, and requests are served once it ends") {
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
  FaultyProgram program;
  program.startReady();
  TestPeer established = program.establishedClient();
  program.faults.fail(call, error, kUnlimitedFailures);
  TestPeer newcomer = program.client();
  established.send(clientRequest("pay", "x", "", 2000));
  newcomer.send(clientRequest("look", "", "", 2000));
  CHECK_FALSE(program.servedWithin(newcomer, 1s));
  program.faults.stop(call);
  const auto answered = [&](TestPeer& client) {
    return program.servedTo(client) || client.hasReceived("HTTP/1.1 ");
  };
  CHECK(within([&] { return answered(established); }, 1s));
  CHECK(within([&] { return answered(newcomer); }, 1s));
  CHECK_FALSE((established.remoteClosed || newcomer.remoteClosed));
  TestPeer after = program.client();
  after.send(clientRequest("look"));
  CHECK(program.servedWithin(after, kAnsweredInTime));
}

TEST_CASE("The counter service and discovery are reached though connects fail briefly for local reasons") {
  const int error = GENERATE(EADDRNOTAVAIL, ENETUNREACH, EINTR);
  FaultyProgram program;
  program.faults.fail(FaultyCall::connect, error, kBriefFailures);
  program.startReady();
  std::optional<TestPeer> watch;
  std::optional<TestPeer> counter;
  CHECK(within([&] { return program.discovery.accept(watch); }, kAnsweredInTime));
  program.faults.fail(FaultyCall::connect, error, kBriefFailures);
  TestPeer client = program.client();
  client.send(meteredRequest(1));
  CHECK(program.servedWithin(client, kAnsweredInTime));
  CHECK(within([&] { return program.counter.accept(counter); }, kAnsweredInTime));
  CHECK(within([&] { return counter->hasReceived("POST /tally/u1."); }, kAnsweredInTime));
  CHECK(program.log().find("discovery_unreachable") == std::string::npos);
}

TEST_CASE("A stepped wall clock moves no deadline") {
  constexpr int kEveryReading = 1'000'000'000;
  const int stepSeconds = GENERATE(3600, -3600, 5, -5);
  FaultyProgram program;
  program.startReady();
  TestPeer incomplete = program.client();
  TestPeer established = program.client();
  TestPeer waiting = program.client();
  incomplete.send(kIncompleteLook);
  waiting.send(clientRequest("look", "", "", 900));
  std::optional<TestPeer> hanging;
  REQUIRE(within([&] { return program.host.accept(hanging); }));
  const auto before = std::chrono::steady_clock::now();
  program.faults.fail(FaultyCall::stepClock, stepSeconds, kEveryReading);
  std::this_thread::sleep_for(300ms);
  CHECK_FALSE(incomplete.hasReceived("HTTP/1.1"));
  CHECK_FALSE(waiting.hasReceived("HTTP/1.1"));
  established.send(clientRequest("look"));
  CHECK(program.servedWithin(established, kAnsweredInTime));
  CHECK(within([&] { return waiting.hasReceived("HTTP/1.1"); }, 900ms));
  CHECK(within([&] { return incomplete.hasReceived("HTTP/1.1 408"); }, kIncompleteAnsweredWithin));
  CHECK(std::chrono::steady_clock::now() - before > 1500ms);
  program.signal(SIGTERM);
  CHECK(exitsWithin(program, kExitWithin));
}

TEST_CASE(
    "The deadline field holds the time left when the request is written, however long sending has failed") {
  FaultyProgram program;
  program.startReady();
  TestPeer client = program.client();
  program.faults.fail(FaultyCall::send, ENOBUFS, kUnlimitedFailures);
  client.send(clientRequest("pay", "x", "", 1900));
  std::this_thread::sleep_for(500ms);
  program.faults.stop(FaultyCall::send);
  std::optional<TestPeer> host;
  REQUIRE(within([&] { return program.host.accept(host); }));
  REQUIRE(within([&] { return host->hasReceived("\r\n\r\nx"); }));
  const std::string field = "Req-Deadline-Ms: ";
  const std::size_t at = host->receivedBytes.find(field);
  REQUIRE(at != std::string::npos);
  const int left = std::stoi(host->receivedBytes.substr(at + field.size()));
  CHECK(left <= 1900 - 500);
  CHECK(left > 500);
  host->send(okResponse("one"));
  CHECK(within([&] { return client.hasReceived("one"); }, 1s));
}

TEST_CASE("Many system calls that fail now and then, together, leave no request without a response") {
  FaultyProgram program;
  program.startReady();
  program.faults.fail(FaultyCall::accept, ENFILE, kUnlimitedFailures, 2);
  program.faults.fail(FaultyCall::socket, ENOBUFS, kUnlimitedFailures, 3);
  program.faults.fail(FaultyCall::connect, EADDRNOTAVAIL, kUnlimitedFailures, 3);
  program.faults.fail(FaultyCall::receive, ENOMEM, kUnlimitedFailures, 5);
  program.faults.fail(FaultyCall::send, ENOBUFS, kUnlimitedFailures, 4);
  program.faults.fail(FaultyCall::epollAdd, ENOSPC, kUnlimitedFailures, 3);
  program.faults.fail(FaultyCall::epollModify, ENOMEM, kUnlimitedFailures, 23);
  program.faults.fail(FaultyCall::epollWait, EINTR, kUnlimitedFailures, 7);
  program.faults.fail(FaultyCall::logWrite, EIO, kUnlimitedFailures, 2);
  TestPeer established = program.client();
  int served = 0;
  for (int count = 0; count < 40; ++count) {
    TestPeer newcomer = program.client();
    newcomer.send(clientRequest("look", "", "", 2000));
    established.send(clientRequest("look", "", "", 2000));
    for (TestPeer* const client : {&newcomer, &established}) {
      const bool answered =
          within([&] { return program.servedTo(*client) || client->hasReceived("HTTP/1.1 "); }, 2200ms);
      REQUIRE(answered);
      served += client->hasReceived("HTTP/1.1 200") ? 1 : 0;
      client->receivedBytes.clear();
    }
    REQUIRE_FALSE((newcomer.wasReset || established.remoteClosed));
  }
  CHECK(served >
        40);  // of 80: the policy may cancel an attempt whose connect is late, and reject the request
  program.signal(SIGTERM);
  CHECK(exitsWithin(program, kExitWithin));
  CHECK(program.exitStatus() == 0);
}
