// Case 1: bad clients with made-up customers make a gateway grow over its memory limit, and it is killed.
#include <algorithm>
#include <random>

#include "hosts.hpp"
#include "settings.hpp"

using namespace standin;

namespace {

constexpr int kHosts = 10, kUsualClients = 10, kBadClients = 4;
constexpr int kMemoryMb = 192;  // the highest limit: "32 to 192 MB by language and day"
constexpr double kBadFrom = 3, kBadUntil = 53, kStopAt = 56;
const std::vector<standin::Method> kMethods{{"calendar-read", "free", 600, 2500, 5000}};

/// The memory of a process in MB, without what it shares with files.
double memoryMb(pid_t process) {
  std::ifstream status(format("/proc/%d/status", process));
  for (std::string line; std::getline(status, line);)
    if (line.rfind("RssAnon:", 0) == 0) return std::atof(line.c_str() + 8) / 1024;
  return 0;
}

}  // namespace

int main(int, char** arguments) {
  Record record(arguments[1]);
  std::atomic<long> atHosts{0}, turnedAway{0};
  const auto answer = [&](Host& host, const Message& message) {
    const std::string id = message.get("Req-Id"), quota = message.get("Quota-Info");
    const long units = parameter(quota, "units"), spread = parameter(quota, "spread");
    const bool usable = units >= 1 && units <= 8 && spread >= 2 && spread <= 3;
    ++(usable ? atHosts : turnedAway);
    if (!usable) return response(400, "");
    record("host " + host.name() + ": " + id);
    thread_local std::mt19937 random(static_cast<unsigned>(randomId()));
    if (!host.work(std::uniform_real_distribution<double>(0.059, 0.11)(random))) return kTurnedAway;
    return response(200, "hall of " + id);
  };
  Fleet fleet;
  for (int index = 0; index < kHosts; ++index)
    fleet.push_back(std::make_unique<Host>(format("s-%d", index), 3, 30, answer));
  Discovery discovery(endpointsOf(fleet, 3));
  Counter counter;
  Gateway gateway(0, GatewayConfig{discovery.address(), counter.address(), discovery.list(),
                                   smallDeployment(3, 0, kMethods), 256, kMemoryMb});
  gateway.start();
  const double begin = now();
  record(format("the gateway is ready, memory %.1f MB", memoryMb(gateway.process())));

  std::atomic<bool> stop{false};
  std::atomic<long> served{0}, refused{0}, unanswered{0}, badRequests{0}, badErrors{0}, badServed{0};
  std::vector<std::thread> clients;
  // Usual clients: about 60 RPCs a second, a new customer each time ("Many customers come only once").
  for (int number = 0; number < kUsualClients; ++number)
    clients.emplace_back([&, number] {
      std::unique_ptr<Connection> connection;
      while (!stop) {
        if (!connection) connection = Connection::to(gateway.port());
        const Request request{newId(), "calendar-read", newAccount(), "", "", 2500, 1, 3};
        Message reply;
        if (!connection || !connection->send(request.text()) || !connection->read(reply, 3)) {
          if (!stop) ++unanswered;
          connection.reset();
        } else {
          ++(reply.status() == 200 ? served : refused);
          record(format("usual client %d: %s %d", number, request.id.c_str(), reply.status()));
        }
        sleepFor(0.08);
      }
    });
  // Bad clients: a set out of range in the name of a made-up customer, the next as soon as one is turned away.
  for (int number = 0; trouble() && number < kBadClients; ++number)
    clients.emplace_back([&] {
      sleepUntil(begin + kBadFrom);
      std::unique_ptr<Connection> connection;
      while (!stop && now() < begin + kBadUntil) {
        if (!connection) connection = Connection::to(gateway.port());
        const Request request{newId(), "calendar-read", newAccount(), "", "", 2500, 1, 0};
        Message reply;
        ++badRequests;
        if (!connection || !connection->send(request.text()) || !connection->read(reply, 3)) {
          connection.reset();
          sleepFor(0.01);
        } else {
          ++(reply.status() == 200 ? badServed : badErrors);
        }
      }
    });

  // The platform: "Over `memory_mb` the api gateway is killed."
  double most = 0, overAt = 0, nextLine = 0;
  while (now() < begin + kStopAt && overAt == 0) {
    const double memory = memoryMb(gateway.process());
    most = std::max(most, memory);
    if (now() >= nextLine) {
      record(format("platform: memory %.1f MB of %d, %ld requests of bad clients so far", memory, kMemoryMb, badRequests.load()));
      nextLine = now() + 0.5;
    }
    if (memory > kMemoryMb) overAt = now() - begin;
    if (gateway.exited()) cannotRun("the gateway ended by itself");
    sleepFor(0.02);
  }
  const bool broken = overAt > 0;
  if (broken) record(format("platform: memory %.1f MB is over %d MB, the gateway is killed", most, kMemoryMb));
  if (broken) gateway.kill();
  stop = true;
  for (std::thread& client : clients) client.join();
  const std::string verdict = format(
      "%s: most memory %.1f MB of %d%s; bad clients: %ld requests on %d connections, %ld errors, %ld served, %ld turned away by "
      "hosts; usual clients: %ld answered with 200, %ld refused, %ld with no answer",
      broken ? "BROKEN" : "held", most, kMemoryMb,
      broken ? format(", killed %.1f s after the first bad request", overAt - kBadFrom).c_str() : "", badRequests.load(),
      kBadClients, badErrors.load(), badServed.load(), turnedAway.load(), served.load(), refused.load(), unanswered.load());
  record(verdict);
  std::printf("%s\n", verdict.c_str());
  gateway.kill();
  std::fflush(nullptr);
  std::_Exit(broken ? 1 : 0);
}
