// Case 3: clients that stop in the middle of a request and stay hold all connections of a gateway.
#include <algorithm>
#include <random>

#include "hosts.hpp"
#include "settings.hpp"

using namespace standin;

namespace {

constexpr int kHosts = 10, kUsualClients = 10, kSockets = 256;
constexpr int kStayers = 200;
constexpr double kStayersAt = 2, kStopAt = 14;
constexpr int kDeadlineMs = 2500;         // the whole deadline of the method
constexpr double kLostAfter = 2.5 + 0.5;  // "Up to half a second after its time it only earns nothing"
const std::vector<standin::Method> kMethods{{"calendar-read", "free", 600, 2500, 5000}};

}  // namespace

int main(int, char** arguments) {
  Record record(arguments[1]);
  const auto answer = [&](Host& host, const Message& message) {
    record("host " + host.name() + ": " + message.get("Req-Id"));
    thread_local std::mt19937 random(static_cast<unsigned>(randomId()));
    if (!host.work(std::uniform_real_distribution<double>(0.059, 0.11)(random))) return kTurnedAway;
    return response(200, "hall of " + message.get("Req-Id"));
  };
  Fleet fleet;
  for (int index = 0; index < kHosts; ++index)
    fleet.push_back(std::make_unique<Host>(format("s-%d", index), 3, 30, answer));
  Discovery discovery(endpointsOf(fleet, 3));
  Counter counter;
  Gateway gateway(0, GatewayConfig{discovery.address(), counter.address(), discovery.list(),
                                   smallDeployment(3, 0, kMethods), kSockets});
  gateway.start();
  record("the gateway is ready");
  const double begin = now();

  // The usual clients: each has one connection and one request at a time, and connects anew when it is closed.
  std::atomic<int> requests{0}, served{0}, refused{0}, lost{0}, closed{0};
  std::mutex worstMutex;
  double worst = 0;
  const auto usualClient = [&](int number) {
    std::unique_ptr<Connection> connection;
    const std::string account = newAccount();
    while (now() < begin + kStopAt) {
      if (!connection) connection = Connection::to(gateway.port());
      if (!connection) cannotRun("a usual client could not connect");
      const Request request{newId(), "calendar-read", account, "", "", kDeadlineMs, 1, 3};
      const double sent = now();
      if (!connection->send(request.text())) {
        connection.reset();
        continue;
      }
      ++requests;
      Message reply;
      const bool answered = connection->read(reply, kLostAfter);
      const double took = now() - sent;
      if (answered) {
        ++(reply.status() == 200 ? served : refused);
        record(format("usual client %d: %s %d after %.3f s", number, request.id.c_str(), reply.status(), took));
        if (reply.get("Connection") == "close") connection.reset();
      } else if (took < kLostAfter - 0.01) {
        ++closed;  // closed unread: the client sends again on a new connection
        record(format("usual client %d: %s closed with no answer after %.3f s", number, request.id.c_str(), took));
        connection.reset();
      } else {
        ++lost;
        record(format("usual client %d: %s LOST, neither answer nor close %.3f s after its last byte", number,
                      request.id.c_str(), took));
        const bool late = connection->read(reply, 10);
        record(format("usual client %d: %s %s %.3f s after its last byte", number, request.id.c_str(),
                      late ? "answered" : "still nothing", now() - sent));
        connection.reset();
      }
      {
        const std::lock_guard lock(worstMutex);
        worst = std::max(worst, now() - sent);
      }
      sleepFor(0.05);
    }
  };
  std::vector<std::thread> clients;
  for (int number = 0; number < kUsualClients; ++number) clients.emplace_back(usualClient, number);

  // The clients that stop in the middle of a request and stay: one wave, none comes again.
  std::atomic<int> told{0}, toldInTime{0};
  std::atomic<bool> leave{false};
  std::vector<std::thread> stayers;
  sleepUntil(begin + kStayersAt);
  for (int number = 0; trouble() && number < kStayers; ++number)
    stayers.emplace_back([&] {
      const auto connection = Connection::to(gateway.port());
      const double at = now();
      if (!connection || !connection->send("GET /calendar-read/hall HTTP/1.1\r\nHost: api.internal\r\nReq-Id: ")) return;
      Message reply;
      while (!leave && !connection->readable(0.1)) {
      }
      if (leave) return;
      ++told;  // an error or a close has come
      toldInTime += now() - at <= 3;
      while (!leave) sleepFor(0.1);
    });
  if (trouble()) record(format("%d clients stop in the middle of a request and stay", kStayers));
  for (std::thread& client : clients) client.join();
  leave = true;
  for (std::thread& stayer : stayers) stayer.join();
  if (gateway.exited()) cannotRun("the gateway ended");

  const bool broken = lost > 0;
  const std::string verdict = format(
      "%s: %d requests of usual clients: %d answered with 200, %d with another status, %d closed unread, %d lost (no answer %.1f s "
      "after the last byte, deadline %.1f s); longest %.2f s; clients that stay: %d told, %d of them within 3 s",
      broken ? "BROKEN" : "held", requests.load(), served.load(), refused.load(), closed.load(), lost.load(), kLostAfter,
      kDeadlineMs / 1000.0, worst, told.load(), toldInTime.load());
  record(verdict);
  std::printf("%s\n", verdict.c_str());
  gateway.kill();
  std::fflush(nullptr);
  std::_Exit(broken ? 1 : 0);
}
